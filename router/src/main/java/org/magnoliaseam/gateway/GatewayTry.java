package org.magnoliaseam.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.gateway.EventSplitter.Event;

/** Follows one try at a backend server and checks that its answer is whole. */
final class GatewayTry implements TryListener {

    /** The largest body that is kept until it is whole, in bytes. */
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    /** The time without an answer, as a multiple of the target, after which a try is given up. */
    private static final double ANSWER_PATIENCE = 2.5;

    /** The pause, as a multiple of the target, after which a stream is given up. */
    private static final double PAUSE_PATIENCE = 6;

    /** The shortest patience in milliseconds. */
    private static final double MIN_PATIENCE_MILLIS = 250;

    /** The nanoseconds of a millisecond. */
    private static final double NANOS_PER_MILLI = 1e6;

    /** The request. */
    private final GatewayCall mCall;

    /** The choice that led to the try. */
    private final Choice.Start mStart;

    /** What the request uses. */
    private final GatewayParts mParts;

    /** The try. */
    private final TryOrder mOrder;

    /** Cuts a stream into events. */
    private final EventSplitter mSplitter = new EventSplitter();

    /** The body of an answer that is not a stream. */
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();

    /** Stops the exchange; null before it has started. */
    private Cancellation mCancellation;

    /** Status and header fields; null before they have come. */
    private AnswerHead mHead;

    /** Whether the answer is a stream of events. */
    private boolean mStreamed;

    /** Whether the prompt has been read. */
    private boolean mRead;

    /** Whether the try has ended. */
    private boolean mEnded;

    /** Whether this entry VM gave the try up. */
    private boolean mGivenUp;

    /** The local monotonic time of the start or the last event. */
    private volatile long mProgressNanos;

    /**
     * Creates a try.
     *
     * @param call the request
     * @param start the choice that led to the try
     * @param parts what the request uses
     * @param order the try
     */
    GatewayTry(GatewayCall call, Choice.Start start, GatewayParts parts, TryOrder order) {
        mCall = call;
        mStart = start;
        mParts = parts;
        mOrder = order;
        mProgressNanos = parts.clock().nanos();
    }

    /** Sends the request. */
    void start() {
        Cancellation cancellation = mParts.port().start(mOrder, this);
        boolean late;
        synchronized (this) {
            mCancellation = cancellation;
            late = mGivenUp;
        }
        if (late) {
            cancellation.cancel();
        }
    }

    /** Stops the try. */
    void giveUp() {
        Cancellation cancellation;
        synchronized (this) {
            mGivenUp = true;
            cancellation = mCancellation;
        }
        if (cancellation != null) {
            cancellation.cancel();
        }
    }

    /**
     * Returns the backend server.
     *
     * @return its state
     */
    ServerState server() {
        return mStart.server();
    }

    /**
     * Returns the try.
     *
     * @return what was sent
     */
    TryOrder order() {
        return mOrder;
    }

    /**
     * Tells whether the backend server has been silent for too long.
     *
     * @param nowNanos the local monotonic time
     * @return true if another one should be tried
     */
    boolean silent(long nowNanos) {
        boolean begun = mRead;
        double limit =
                begun
                        ? PAUSE_PATIENCE * mOrder.request().route().pauseTargetMillis()
                        : ANSWER_PATIENCE * mOrder.request().route().targetMillis();
        double patience = Math.max(MIN_PATIENCE_MILLIS, limit);
        return (nowNanos - mProgressNanos) / NANOS_PER_MILLI > patience;
    }

    @Override
    public boolean sending() {
        return mCall.sending(this);
    }

    @Override
    public void load(ReportedLoad load) {
        mParts.board().load(server(), load);
    }

    @Override
    public void head(AnswerHead head) {
        mHead = head;
        mStreamed = mOrder.request().route().kind().streamed() && head.status() < 300;
    }

    @Override
    public CompletableFuture<Void> content(ByteBuffer bytes) {
        if (!mStreamed) {
            return keep(bytes);
        }
        List<Event> events = mSplitter.feed(bytes);
        if (mSplitter.overflowed()) {
            return CompletableFuture.failedFuture(new IllegalStateException("event too large"));
        }
        if (events.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        progress();
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        String lastId = "";
        for (Event event : events) {
            joined.writeBytes(event.bytes());
            lastId = event.id().isEmpty() ? lastId : event.id();
        }
        return mCall.events(this, mHead, ByteBuffer.wrap(joined.toByteArray()), lastId);
    }

    @Override
    public void ended() {
        if (mStreamed && mSplitter.partial()) {
            failed(BackendFailure.INCOMPLETE, "The stream ended inside an event.");
            return;
        }
        if (!finish()) {
            return;
        }
        if (mHead.status() >= 500) {
            mParts.board()
                    .failed(server(), mOrder.request().service(), BackendFailure.SERVER_ERROR);
        } else {
            mParts.board().succeeded(server());
        }
        if (mStreamed) {
            mCall.streamEnded(this, mHead);
        } else {
            mCall.answered(this, mHead, mBody.toByteArray());
        }
    }

    @Override
    public void failed(BackendFailure failure, String detail) {
        if (!finish()) {
            return;
        }
        boolean blameless = mGivenUp && failure == BackendFailure.INCOMPLETE;
        if (blameless && !silent(mParts.clock().nanos())) {
            mParts.board().ended(server());
        } else {
            mParts.board().failed(server(), mOrder.request().service(), failure);
        }
        mCall.failed(this, failure, detail);
    }

    /**
     * Keeps bytes of an answer until it is whole.
     *
     * @param bytes the bytes
     * @return completes at once, exceptionally if the answer is too large
     */
    private CompletableFuture<Void> keep(ByteBuffer bytes) {
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        mBody.writeBytes(copy);
        if (mBody.size() > MAX_BODY_BYTES) {
            return CompletableFuture.failedFuture(new IllegalStateException("answer too large"));
        }
        return CompletableFuture.completedFuture(null);
    }

    /** Notes that an event has come. */
    private void progress() {
        long now = mParts.clock().nanos();
        if (!mRead) {
            mRead = true;
            double millis = mStart.alone() ? (now - mProgressNanos) / NANOS_PER_MILLI : 0;
            mParts.board().read(server(), mStart.unreadTokens(), millis);
        } else {
            mCall.paused(now - mProgressNanos);
        }
        mProgressNanos = now;
    }

    /**
     * Marks the try as ended.
     *
     * @return false if it had ended before
     */
    private synchronized boolean finish() {
        if (mEnded) {
            return false;
        }
        mEnded = true;
        if (!mRead) {
            mParts.board().read(server(), mStart.unreadTokens(), 0);
        }
        return true;
    }
}
