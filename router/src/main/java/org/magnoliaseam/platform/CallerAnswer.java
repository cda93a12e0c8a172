package org.magnoliaseam.platform;

import java.io.EOFException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.magnoliaseam.caller.ErrorBody;
import org.magnoliaseam.caller.ObservedEndPoint;
import org.magnoliaseam.error.Executed;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.Header;
import org.magnoliaseam.gateway.GatewaySink;
import org.magnoliaseam.model.RequestId;

/** Writes the answer to a caller of the platform. */
final class CallerAnswer implements GatewaySink {

    /** The first status of server errors. */
    private static final int SERVER_ERRORS = 500;

    /** The status of an answer that promises nothing about what has run. */
    private static final int BAD_GATEWAY = 502;

    /** The status that promises that a request has not run. */
    private static final int UNAVAILABLE = 503;

    /** The milliseconds of a second. */
    private static final double MILLIS_PER_SECOND = 1000;

    /** The answer. */
    private final Response mResponse;

    /** Completes the exchange. */
    private final Callback mCallback;

    /** The request. */
    private final RequestId mId;

    /** What observes the connection of the caller; null if nothing does. */
    private ObservedEndPoint mObserved;

    /** Whether the exchange has ended. */
    private boolean mEnded;

    /**
     * Creates an answer.
     *
     * @param response the answer
     * @param callback completes the exchange
     * @param id the request
     */
    CallerAnswer(Response response, Callback callback, RequestId id) {
        mResponse = response;
        mCallback = callback;
        mId = id;
    }

    /**
     * Observes the connection of the caller until the end of the exchange.
     *
     * @param endPoint the connection
     * @param onGone runs when the caller has closed the connection before the end
     */
    void observe(ObservedEndPoint endPoint, Runnable onGone) {
        synchronized (this) {
            if (mEnded) {
                return;
            }
            mObserved = endPoint;
        }
        endPoint.observe(onGone);
    }

    @Override
    public void head(AnswerHead head) {
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
        frame();
        Callback.Completable completable = new Callback.Completable();
        mResponse.write(false, bytes, completable);
        return completable;
    }

    @Override
    public void end() {
        endWith(ByteBuffer.allocate(0));
    }

    @Override
    public void endWith(ByteBuffer last) {
        if (finish()) {
            mResponse.write(true, last, mCallback);
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
     * Lets the answer end with its last chunk. Before a close that was announced, an answer of
     * unknown length would otherwise end with its connection, and look whole when broken off.
     */
    private void frame() {
        if (!mResponse.isCommitted()) {
            mResponse.getHeaders().put(HttpHeader.TRANSFER_ENCODING, "chunked");
        }
    }

    /**
     * Marks the exchange as ended.
     *
     * @return false if it had ended before
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
     * Tells whether the exchange has ended.
     *
     * @return true after its end
     */
    private synchronized boolean ended() {
        return mEnded;
    }

    /**
     * Returns the status of a refusal. Callers take some statuses as a promise that the request has
     * not run and never will, so they are kept for refusals that state it.
     *
     * @param refusal the refusal
     * @return the HTTP status
     */
    private static int status(Refusal refusal) {
        int status = refusal.kind().httpStatus();
        boolean ran = refusal.kind().executed() != Executed.NO;
        if (ran && (status == UNAVAILABLE || status < SERVER_ERRORS)) {
            return BAD_GATEWAY;
        }
        return status;
    }
}
