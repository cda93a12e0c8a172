package org.magnoliaseam.relay;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.backend.BackendListener;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.AnswerSink;
import org.magnoliaseam.exchange.Header;

/**
 * Relays the response to one attempt of a plain-service request. The whole response is buffered
 * before any of it is sent, so that the caller gets a refusal in place of a truncated response.
 */
public final class PlainRelay implements BackendListener {

    /** The largest accepted body of a response, in bytes. */
    public static final int MAX_ANSWER_BYTES = 4 * 1024 * 1024;

    /** The response header fields that are not forwarded to the caller, in lower case. */
    private static final Set<String> NOT_FORWARDED =
            Set.of(
                    "connection",
                    "content-length",
                    "date",
                    "keep-alive",
                    "server",
                    "transfer-encoding",
                    "x-request-id");

    /** Receives the response for the caller. */
    private final AnswerSink mSink;

    /** The header fields that the router adds. */
    private final List<Header> mHeaders;

    /** Receives the progress of the attempt. */
    private final RelayEvents mEvents;

    /** The part of the body received so far. */
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();

    /** The status and header fields of the response; null before they arrive. */
    private AnswerHead mHead;

    /** Whether the body is larger than the limit. */
    private boolean mTooLarge;

    /**
     * Creates a relay.
     *
     * @param sink receives the response for the caller
     * @param headers the header fields that the router adds
     * @param events receives the progress of the attempt
     */
    public PlainRelay(AnswerSink sink, List<Header> headers, RelayEvents events) {
        mSink = sink;
        mHeaders = headers;
        mEvents = events;
    }

    @Override
    public boolean sending() {
        return mEvents.sending();
    }

    @Override
    public void head(AnswerHead head) {
        mEvents.head(head);
        List<Header> headers = new ArrayList<>(mHeaders);
        for (Header field : head.headers()) {
            if (!NOT_FORWARDED.contains(field.name().toLowerCase(Locale.ROOT))) {
                headers.add(field);
            }
        }
        mHead = new AnswerHead(head.status(), headers);
    }

    @Override
    public CompletableFuture<Void> content(ByteBuffer bytes) {
        if (mBody.size() + bytes.remaining() > MAX_ANSWER_BYTES) {
            mTooLarge = true;
            return CompletableFuture.failedFuture(new IllegalStateException("too large"));
        }
        mBody.write(bytes.array(), bytes.arrayOffset() + bytes.position(), bytes.remaining());
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public void ended() {
        mSink.head(mHead);
        mEvents.token();
        mSink.write(ByteBuffer.wrap(mBody.toByteArray()))
                .whenComplete((ignored, failure) -> mSink.end());
        mEvents.completed();
    }

    @Override
    public void failed(BackendFailure failure, String detail) {
        if (mTooLarge) {
            mEvents.failed(BackendFailure.INCOMPLETE, "The answer is larger than the limit.");
        } else {
            mEvents.failed(failure, detail);
        }
    }
}
