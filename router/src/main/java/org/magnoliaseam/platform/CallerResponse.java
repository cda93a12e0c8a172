package org.magnoliaseam.platform;

import java.io.EOFException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.magnoliaseam.caller.ErrorBody;
import org.magnoliaseam.caller.ObservedEndPoint;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Executed;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.Header;
import org.magnoliaseam.gateway.GatewaySink;
import org.magnoliaseam.model.RequestId;

/** Writes the response to a caller of the platform. */
final class CallerResponse implements GatewaySink {

    /** The lowest HTTP status of a server error. */
    private static final int MIN_SERVER_ERROR = 500;

    /** The HTTP status of a refusal that does not rule out that the request ran. */
    private static final int BAD_GATEWAY = 502;

    /** The HTTP status that callers read as a statement that the request did not run. */
    private static final int UNAVAILABLE = 503;

    /** Milliseconds per second. */
    private static final double MILLIS_PER_SECOND = 1000;

    /** The HTTP response. */
    private final Response mResponse;

    /** Completes the exchange. */
    private final Callback mCallback;

    /** The request that is answered. */
    private final RequestId mId;

    /** The observed connection of the caller; null if it is not observed. */
    private ObservedEndPoint mObserved;

    /** Whether the exchange has ended. */
    private boolean mEnded;

    /**
     * Completes when the last write has ended. Jetty fails a write that begins before that, and the
     * events of another backend server may come while the caller reads those of the first one.
     */
    private CompletableFuture<Void> mWritten = CompletableFuture.completedFuture(null);

    /**
     * Creates a response writer.
     *
     * @param response the HTTP response
     * @param callback completes the exchange
     * @param id the request that is answered
     */
    CallerResponse(Response response, Callback callback, RequestId id) {
        mResponse = response;
        mCallback = callback;
        mId = id;
    }

    /**
     * Observes the connection of the caller until the end of the exchange.
     *
     * @param endPoint the connection
     * @param onGone runs if the caller closes the connection before the exchange ends
     */
    void observe(ObservedEndPoint endPoint, Runnable onGone) {
        synchronized (this) {
            if (mEnded) {
                return;
            }
            mObserved = endPoint;
        }
        endPoint.observe(
                () -> {
                    onGone.run();
                    callerGone(endPoint);
                });
    }

    /**
     * Ends the exchange without an answer, since the caller has closed the connection. Without
     * that, the server keeps the connection and its descriptor.
     *
     * @param endPoint the connection
     */
    private void callerGone(ObservedEndPoint endPoint) {
        if (finish()) {
            endPoint.close();
            mCallback.failed(new EofException("The caller closed the connection."));
        }
    }

    @Override
    public void head(AnswerHead head) {
        if (ended()) {
            return;
        }
        mResponse.setStatus(head.status());
        HttpFields.Mutable fields = mResponse.getHeaders();
        for (Header field : head.headers()) {
            if (WireNames.returned(field.name())) {
                fields.add(field.name(), field.value());
            }
        }
    }

    @Override
    public CompletableFuture<Void> write(ByteBuffer bytes) {
        Callback.Completable completable = new Callback.Completable();
        completable.whenComplete(
                (ignored, failure) -> {
                    if (failure != null) {
                        breakOff();
                    }
                });
        CompletableFuture<Void> before;
        synchronized (this) {
            before = mWritten;
            mWritten = completable;
        }
        before.whenComplete(
                (ignored, failure) -> {
                    if (failure != null) {
                        completable.failed(failure);
                    } else {
                        write(bytes, completable);
                    }
                });
        return completable;
    }

    /**
     * Writes a part of the response.
     *
     * @param bytes the part
     * @param written completes when it has been written; fails if it cannot be
     */
    private void write(ByteBuffer bytes, Callback.Completable written) {
        try {
            useChunkedEncoding();
            mResponse.write(false, bytes, written);
        } catch (RuntimeException e) {
            written.failed(e);
        }
    }

    @Override
    public void end() {
        endWith(ByteBuffer.allocate(0));
    }

    @Override
    public void endWith(ByteBuffer last) {
        if (finish()) {
            written()
                    .whenComplete(
                            (ignored, failure) -> {
                                if (failure != null) {
                                    mCallback.failed(failure);
                                } else {
                                    writeLast(last);
                                }
                            });
        }
    }

    /**
     * Writes the last part of the response.
     *
     * @param last the part
     */
    private void writeLast(ByteBuffer last) {
        try {
            mResponse.write(true, last, mCallback);
        } catch (RuntimeException e) {
            mCallback.failed(e);
        }
    }

    @Override
    public void refuse(Refusal refusal) {
        refuse(refusal, refusal.kind().retryAfterSeconds() * (long) MILLIS_PER_SECOND);
    }

    @Override
    public void refuse(Refusal refusal, long retryAfterMillis) {
        if (ended()) {
            return;
        }
        HttpFields.Mutable fields = mResponse.getHeaders();
        mResponse.setStatus(status(refusal));
        fields.put(WireNames.REQUEST_ID, mId.value());
        fields.put(HttpHeader.CONTENT_TYPE, "application/json");
        if (retryAfterMillis > 0) {
            double seconds = retryAfterMillis / MILLIS_PER_SECOND;
            fields.put(HttpHeader.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", seconds));
        }
        String body = ErrorBody.render(refusal, mId, "");
        endWith(ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)));
    }

    @Override
    public void breakOff() {
        if (finish()) {
            mCallback.failed(new EOFException("The answer was broken off."));
        }
    }

    /**
     * Selects chunked encoding for a response of unknown length. With {@code Connection: close},
     * such a response would otherwise end with its connection, and the caller could not tell an
     * aborted response from a complete one.
     */
    private void useChunkedEncoding() {
        if (!mResponse.isCommitted()) {
            mResponse.getHeaders().put(HttpHeader.TRANSFER_ENCODING, "chunked");
        }
    }

    /**
     * Marks the exchange as ended.
     *
     * @return false if it had already ended
     */
    private boolean finish() {
        ObservedEndPoint observed;
        synchronized (this) {
            if (mEnded) {
                return false;
            }
            mEnded = true;
            observed = mObserved;
        }
        if (observed != null) {
            observed.forget();
        }
        return true;
    }

    /**
     * Returns the end of the last write.
     *
     * @return completes with it
     */
    private synchronized CompletableFuture<Void> written() {
        return mWritten;
    }

    /**
     * Returns whether the exchange has ended.
     *
     * @return true after its end
     */
    private synchronized boolean ended() {
        return mEnded;
    }

    /**
     * Returns the HTTP status of a refusal. Callers read 503 and the client errors as a statement
     * that the request did not and will not run, so a refusal that cannot rule that out gets 502. A
     * request that crashes backend servers is valid, so it gets 503 too.
     *
     * @param refusal the refusal
     * @return the HTTP status
     */
    private static int status(Refusal refusal) {
        if (refusal.kind() == ErrorKind.CRASHING_REQUEST) {
            return UNAVAILABLE;
        }
        int status = refusal.kind().httpStatus();
        boolean mayHaveRun = refusal.kind().executed() != Executed.NO;
        if (mayHaveRun && (status == UNAVAILABLE || status < MIN_SERVER_ERROR)) {
            return BAD_GATEWAY;
        }
        return status;
    }
}
