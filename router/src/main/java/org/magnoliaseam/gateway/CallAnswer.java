package org.magnoliaseam.gateway;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerHead;

/**
 * Passes the answer of a request on to its caller: the head once, and the events of all attempts in
 * one stream. Guarded by the lock of the request.
 */
final class CallAnswer {

    /** The size up to which an answer is kept while another attempt is made, in bytes. */
    private static final int MAX_HELD_BYTES = 64 * 1024;

    /** Receives the answer. */
    private final GatewaySink mSink;

    /** Whether the head of a stream has been passed on. */
    private boolean mBegun;

    /** The id of the last event that the caller has, from this request or an earlier one. */
    private String mLastEventId;

    /** The answer that is passed on if no other attempt has a better one. */
    private Optional<Held> mHeld = Optional.empty();

    /**
     * Holds a complete answer.
     *
     * @param head status and header fields
     * @param body the body
     */
    private record Held(AnswerHead head, byte[] body) {}

    /**
     * Creates an answer that has not begun.
     *
     * @param sink receives the answer
     * @param lastEventId the id of the last event that the caller has; empty if it has none
     */
    CallAnswer(GatewaySink sink, String lastEventId) {
        mSink = sink;
        mLastEventId = lastEventId;
    }

    /**
     * Tells whether the caller has a part of the answer.
     *
     * @return true once the head of a stream has been passed on
     */
    boolean begun() {
        return mBegun;
    }

    /**
     * Returns the id of the last event that the caller has.
     *
     * @return the id; empty if it has none
     */
    String lastEventId() {
        return mLastEventId;
    }

    /**
     * Passes the head of a stream on unless the caller has one.
     *
     * @param head status and header fields
     */
    void begin(AnswerHead head) {
        if (!mBegun) {
            mBegun = true;
            mSink.head(head);
        }
    }

    /**
     * Passes complete events on.
     *
     * @param events the bytes of the events
     * @param lastId the id of the last of them; empty if it has none
     * @param onGone called if the caller has disconnected
     * @return completes when the caller has room for more
     */
    CompletableFuture<Void> events(ByteBuffer events, String lastId, Runnable onGone) {
        mLastEventId = lastId.isEmpty() ? mLastEventId : lastId;
        CompletableFuture<Void> written = mSink.write(events);
        written.whenComplete(
                (ignored, failure) -> {
                    if (failure != null) {
                        onGone.run();
                    }
                });
        return written;
    }

    /**
     * Ends a complete stream.
     *
     * @param head status and header fields, used if the stream had no events
     */
    void endStream(AnswerHead head) {
        begin(head);
        mSink.end();
    }

    /**
     * Passes a complete answer on that is not a stream.
     *
     * @param head status and header fields
     * @param body the body
     */
    void whole(AnswerHead head, byte[] body) {
        mSink.head(head);
        mSink.endWith(ByteBuffer.wrap(body));
    }

    /**
     * Keeps a complete answer that reports a server error while another attempt is made, unless it
     * is large.
     *
     * @param head status and header fields
     * @param body the body
     */
    void hold(AnswerHead head, byte[] body) {
        if (body.length <= MAX_HELD_BYTES) {
            mHeld = Optional.of(new Held(head, body));
        }
    }

    /**
     * Ends an incomplete answer: breaks it off if it has begun, passes the kept answer on if there
     * is one, and refuses the request otherwise.
     *
     * @param kind what the caller is told
     * @param retryAfterMillis the delay before the caller should come back, in milliseconds; 0 for
     *     no advice
     */
    void fail(ErrorKind kind, long retryAfterMillis) {
        if (mBegun) {
            mSink.breakOff();
        } else if (mHeld.isPresent()) {
            whole(mHeld.get().head(), mHeld.get().body());
        } else {
            mSink.refuse(Refusal.of(kind), retryAfterMillis);
        }
    }

    /**
     * Returns how a request ends whose answer is incomplete.
     *
     * @param kind what the caller is told
     * @return the outcome for the log
     */
    String outcome(ErrorKind kind) {
        if (mBegun) {
            return "broken_off_" + kind.text();
        }
        return mHeld.map(held -> "answered_" + held.head().status())
                .orElse("refused_" + kind.text());
    }
}
