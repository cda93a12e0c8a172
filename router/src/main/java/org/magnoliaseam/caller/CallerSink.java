package org.magnoliaseam.caller;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.AnswerSink;
import org.magnoliaseam.exchange.Header;
import org.magnoliaseam.model.RequestId;

/** Writes the response to a caller. */
final class CallerSink implements AnswerSink {

    /** The header field that carries the id of the request. */
    static final String REQUEST_ID_HEADER = "X-Request-Id";

    /** The header field that carries a ticket, in requests and in refusals. */
    static final String TICKET_HEADER = "X-Ticket";

    /** The media type of refusals. */
    private static final String JSON = "application/json";

    /** The HTTP response. */
    private final Response mResponse;

    /** Completes the exchange. */
    private final Callback mCallback;

    /** The id of the request. */
    private final RequestId mId;

    /** Whether the exchange has ended. */
    private final AtomicBoolean mEnded = new AtomicBoolean();

    /** Whether the status and header fields were set. */
    private volatile boolean mOpened;

    /**
     * Creates a sink.
     *
     * @param response the HTTP response
     * @param callback completes the exchange
     * @param id the id of the request
     */
    CallerSink(Response response, Callback callback, RequestId id) {
        mResponse = response;
        mCallback = callback;
        mId = id;
        mResponse.getHeaders().put(REQUEST_ID_HEADER, id.value());
    }

    @Override
    public void head(AnswerHead head) {
        mOpened = true;
        mResponse.setStatus(head.status());
        for (Header field : head.headers()) {
            mResponse.getHeaders().put(field.name(), field.value());
        }
    }

    @Override
    public CompletableFuture<Void> write(ByteBuffer bytes) {
        Callback.Completable completable = new Callback.Completable();
        mResponse.write(false, bytes, completable);
        return completable;
    }

    @Override
    public void end() {
        if (mEnded.compareAndSet(false, true)) {
            mResponse.write(true, ByteBuffer.allocate(0), mCallback);
        }
    }

    @Override
    public void refuse(Refusal refusal) {
        refuse(refusal, "");
    }

    /**
     * Ends the exchange with a refusal, which may carry a ticket.
     *
     * @param refusal the refusal
     * @param ticket the ticket; empty if none
     */
    void refuse(Refusal refusal, String ticket) {
        if (!mEnded.compareAndSet(false, true)) {
            return;
        }
        String body = ErrorBody.render(refusal, mId, ticket);
        if (mOpened) {
            writeLast("data: " + body + "\n\n");
            return;
        }
        ErrorKind kind = refusal.kind();
        mResponse.setStatus(kind.httpStatus());
        mResponse.getHeaders().put(HttpHeader.CONTENT_TYPE, JSON);
        if (kind.retryAfterSeconds() > 0) {
            mResponse.getHeaders().put(HttpHeader.RETRY_AFTER, kind.retryAfterSeconds());
        }
        if (!ticket.isEmpty()) {
            mResponse.getHeaders().put(TICKET_HEADER, ticket);
        }
        writeLast(body);
    }

    /**
     * Writes a JSON response of the router itself and ends the exchange.
     *
     * @param status the HTTP status
     * @param body the JSON text
     */
    void json(int status, String body) {
        if (mEnded.compareAndSet(false, true)) {
            mResponse.setStatus(status);
            mResponse.getHeaders().put(HttpHeader.CONTENT_TYPE, JSON);
            writeLast(body);
        }
    }

    /**
     * Writes the last part of the body and ends the exchange.
     *
     * @param text the text
     */
    private void writeLast(String text) {
        mResponse.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), mCallback);
    }
}
