package org.magnoliaseam.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.gateway.EventSplitter.Event;

/** Reads the answer of one attempt: a stream of events or a whole body. Not thread-safe. */
final class AttemptAnswer {

    /** Explains in the log record why an answer was given up. */
    static final String TOO_LARGE = "The answer is too large.";

    /** The media type of a stream of events. */
    private static final String EVENT_STREAM = "text/event-stream";

    /** The lowest status that does not begin a stream. */
    private static final int MIN_OTHER_STATUS = 300;

    /** The lowest status of a server error. */
    private static final int MIN_SERVER_ERROR = 500;

    /** The request as it is sent to the backend server. */
    private final TryOrder mOrder;

    /** The memory that the answer takes while it is incomplete. */
    private final AnswerMemory.Share mMemory;

    /** Splits a stream into events. */
    private final EventSplitter mSplitter;

    /** The body of an answer that is not a stream. */
    private final BodyBuffer mBody;

    /** Status and header fields; null before they have been received. */
    private AnswerHead mHead;

    /** Whether the answer is a stream of events. */
    private boolean mStreamed;

    /** Whether a whole body is too large. */
    private boolean mOverflowed;

    /** Whether the stream has had an event. */
    private boolean mBegun;

    /**
     * Holds complete events of a stream.
     *
     * @param bytes their bytes
     * @param lastId the id of the last of them that has one; empty if none has
     */
    record Events(ByteBuffer bytes, String lastId) {}

    /**
     * Creates an answer that has not begun.
     *
     * @param order the request as it is sent to the backend server
     * @param memory limits the memory of all answers
     */
    AttemptAnswer(TryOrder order, AnswerMemory memory) {
        mOrder = order;
        mMemory = memory.share();
        mSplitter = new EventSplitter(mMemory);
        mBody = new BodyBuffer(mMemory);
    }

    /**
     * Receives status and header fields. The rest of a stream that has begun must be one too.
     *
     * @param head status and header fields
     */
    void begin(AnswerHead head) {
        mHead = head;
        mStreamed =
                mOrder.request().route().kind().streamed()
                        && head.status() < MIN_OTHER_STATUS
                        && (!isResumed() || head.mayBe(EVENT_STREAM));
    }

    /**
     * Returns status and header fields.
     *
     * @return the head; null before it has been received
     */
    AnswerHead head() {
        return mHead;
    }

    /**
     * Tells whether the answer is a stream of events.
     *
     * @return false for a whole body
     */
    boolean streamed() {
        return mStreamed;
    }

    /**
     * Tells whether the answer is a server error.
     *
     * @return true if the backend server failed
     */
    boolean isServerError() {
        return mHead.status() >= MIN_SERVER_ERROR;
    }

    /**
     * Returns a whole body.
     *
     * @return the bytes so far
     */
    byte[] body() {
        return mBody.bytes();
    }

    /** Releases the memory of the answer when it has ended. */
    void release() {
        mMemory.release();
    }

    /**
     * Receives a part of a whole body or of a stream.
     *
     * @param bytes the part
     * @return the events of a stream that it completes; empty if none
     */
    Optional<Events> receive(ByteBuffer bytes) {
        if (!mStreamed) {
            mOverflowed |= !mBody.add(bytes);
            return Optional.empty();
        }
        List<Event> events = mSplitter.feed(bytes);
        if (events.isEmpty()) {
            return Optional.empty();
        }
        mBegun = true;
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        String lastId = "";
        for (Event event : events) {
            joined.writeBytes(event.bytes());
            lastId = event.id().isEmpty() ? lastId : event.id();
        }
        return Optional.of(new Events(ByteBuffer.wrap(joined.toByteArray()), lastId));
    }

    /**
     * Tells whether the answer exceeds a size limit.
     *
     * @return true if the answer is unusable
     */
    boolean overflowed() {
        return mOverflowed || mSplitter.overflowed();
    }

    /**
     * Tells why a stream whose connection or length has ended is not complete. One without events
     * is complete only if the caller has events already and the answer states where it ends.
     *
     * @return one sentence for the log record; empty if the answer is complete
     */
    Optional<String> missing() {
        if (mStreamed && mSplitter.partial()) {
            return Optional.of("The stream ended inside an event.");
        }
        if (mStreamed && !mBegun && !(isResumed() && mHead.framed())) {
            return Optional.of("The stream ended before its first event.");
        }
        return Optional.empty();
    }

    /**
     * Tells whether the caller has a part of the answer already.
     *
     * @return true if the backend server was asked for the rest of a stream
     */
    private boolean isResumed() {
        return !mOrder.lastEventId().isEmpty();
    }
}
