package org.magnoliaseam.peer;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.IntConsumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.AnswerSink;

/**
 * Delivers the answer to one forwarded request to its sink, one call at a time and in order. Bytes
 * count against the window until the sink has completed their write.
 */
final class ForwardStream {

    /** The logger of this class. */
    private static final Logger LOG = LogManager.getLogger(ForwardStream.class);

    /** The number of freed bytes at which a credit is sent. */
    private static final int CREDIT_BYTES = PeerLimits.STREAM_WINDOW_BYTES / 4;

    /** The result of a call that completes at once. */
    private static final CompletableFuture<Void> DONE = CompletableFuture.completedFuture(null);

    /** Receives the answer. */
    private final AnswerSink mSink;

    /** Runs the calls to the sink. */
    private final Executor mHandlers;

    /** Sends a credit. */
    private final IntConsumer mCredit;

    /** Stops the exchange when the sink fails. */
    private final Runnable mAbort;

    /** The calls that wait for the sink. */
    private final Deque<Call> mCalls = new ArrayDeque<>();

    /** Whether a call runs or its result is awaited. */
    private boolean mBusy;

    /** Whether the head has arrived. */
    private boolean mHeadArrived;

    /** Whether no further call is accepted. */
    private boolean mEnded;

    /** The bytes that the peer may still send. */
    private int mWindow = PeerLimits.STREAM_WINDOW_BYTES;

    /** The freed bytes for which no credit was sent. */
    private int mFreed;

    /**
     * Creates a stream.
     *
     * @param sink receives the answer
     * @param handlers runs the calls to the sink
     * @param credit sends a credit
     * @param abort stops the exchange when the sink fails
     */
    ForwardStream(AnswerSink sink, Executor handlers, IntConsumer credit, Runnable abort) {
        mSink = sink;
        mHandlers = handlers;
        mCredit = credit;
        mAbort = abort;
    }

    /**
     * Handles the head.
     *
     * @param head the head
     * @return whether it was expected
     */
    synchronized boolean head(AnswerHead head) {
        boolean expected = !mHeadArrived;
        mHeadArrived = true;
        add(
                sink -> {
                    sink.head(head);
                    return DONE;
                });
        return expected;
    }

    /**
     * Handles a part of the body.
     *
     * @param bytes the part
     * @return whether it was expected and within the window
     */
    synchronized boolean chunk(byte[] bytes) {
        mWindow -= bytes.length;
        add(sink -> sink.write(ByteBuffer.wrap(bytes)).thenRun(() -> free(bytes.length)));
        return mHeadArrived && mWindow >= 0;
    }

    /**
     * Handles the end of the answer.
     *
     * @return whether it was expected
     */
    synchronized boolean end() {
        add(
                sink -> {
                    sink.end();
                    return DONE;
                });
        mEnded = true;
        return mHeadArrived;
    }

    /**
     * Handles a refusal in place of the rest of the answer.
     *
     * @param refusal the refusal
     */
    synchronized void refuse(Refusal refusal) {
        add(
                sink -> {
                    sink.refuse(refusal);
                    return DONE;
                });
        mEnded = true;
    }

    /** Drops all waiting calls; the sink is not called any more. */
    synchronized void cancel() {
        mCalls.clear();
        mEnded = true;
    }

    /**
     * Appends a call.
     *
     * @param call the call
     */
    private void add(Call call) {
        if (mEnded) {
            return;
        }
        mCalls.add(call);
        if (!mBusy) {
            mBusy = true;
            mHandlers.execute(this::callNext);
        }
    }

    /** Makes the next call and waits for its result without holding a thread. */
    private void callNext() {
        Call call;
        synchronized (this) {
            call = mCalls.poll();
            mBusy = call != null;
        }
        if (call == null) {
            return;
        }
        try {
            call.on(mSink).whenComplete((done, error) -> afterCall(error));
        } catch (RuntimeException e) {
            LOG.error("peer: delivering an answer failed.", e);
            afterCall(e);
        }
    }

    /**
     * Continues after a call has completed; stops the exchange if it failed.
     *
     * @param error the failure of the call, or null
     */
    private void afterCall(Throwable error) {
        if (error != null) {
            cancel();
            mAbort.run();
        }
        mHandlers.execute(this::callNext);
    }

    /**
     * Records that the sink has completed the write of a part.
     *
     * @param bytes the length of the part
     */
    private void free(int bytes) {
        int credit = 0;
        synchronized (this) {
            mFreed += bytes;
            if (mFreed >= CREDIT_BYTES && !mEnded) {
                credit = mFreed;
                mWindow += credit;
                mFreed = 0;
            }
        }
        if (credit > 0) {
            mCredit.accept(credit);
        }
    }

    /** Makes one call to a sink. */
    @FunctionalInterface
    private interface Call {

        /**
         * Makes the call.
         *
         * @param sink the sink
         * @return completes when the next call may be made
         */
        CompletableFuture<Void> on(AnswerSink sink);
    }
}
