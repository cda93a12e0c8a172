package org.magnoliaseam.peer;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.AnswerSink;
import org.magnoliaseam.exchange.Cancellation;

/** Sends the answer to one request of a peer within the credit that the peer has granted. */
final class ServedStream implements AnswerSink {

    /** The number of the stream. */
    private final long mStream;

    /** The frames that wait for the writer. */
    private final Outbox mOutbox;

    /** Runs the calls that must not run on the reader thread. */
    private final Executor mHandlers;

    /** Is run when the exchange ends. */
    private final Runnable mOnEnd;

    /** The writes that wait for credit. */
    private final Deque<PendingWrite> mWrites = new ArrayDeque<>();

    /** The bytes that may be sent now. */
    private int mCredit = PeerLimits.STREAM_WINDOW_BYTES;

    /** Whether the answer is to end after the waiting writes. */
    private boolean mEnding;

    /** Whether the exchange has ended. */
    private boolean mEnded;

    /** Whether the peer has cancelled the exchange or disconnected. */
    private boolean mCancelled;

    /** Stops the request; null until it has been started. */
    private Cancellation mCancellation;

    /**
     * Creates a stream.
     *
     * @param stream the number of the stream
     * @param outbox the frames that wait for the writer
     * @param handlers runs the calls that must not run on the reader thread
     * @param onEnd is run when the exchange ends
     */
    ServedStream(long stream, Outbox outbox, Executor handlers, Runnable onEnd) {
        mStream = stream;
        mOutbox = outbox;
        mHandlers = handlers;
        mOnEnd = onEnd;
    }

    @Override
    public synchronized void head(AnswerHead head) {
        if (!mEnded) {
            mOutbox.append(mStream, List.of(new Frame.Head(mStream, head)));
        }
    }

    @Override
    public synchronized CompletableFuture<Void> write(ByteBuffer bytes) {
        if (mEnded || mEnding) {
            return CompletableFuture.failedFuture(exchangeEnded());
        }
        PendingWrite write = new PendingWrite(bytes, new CompletableFuture<>());
        mWrites.add(write);
        if (sendWithinCredit()) {
            return CompletableFuture.completedFuture(null);
        }
        return write.done();
    }

    @Override
    public synchronized void end() {
        mEnding = true;
        sendWithinCredit();
    }

    @Override
    public synchronized void refuse(Refusal refusal) {
        if (!mEnded) {
            finish();
            mOutbox.append(mStream, List.of(new Frame.Refuse(mStream, refusal)));
        }
    }

    /**
     * Sets the cancellation of the running request, and cancels it if the peer has already
     * cancelled the exchange or disconnected.
     *
     * @param cancellation stops the request
     */
    void started(Cancellation cancellation) {
        boolean cancelled;
        synchronized (this) {
            mCancellation = cancellation;
            cancelled = mCancelled;
        }
        if (cancelled) {
            cancellation.cancel();
        }
    }

    /**
     * Returns whether the exchange has ended.
     *
     * @return true if it has
     */
    synchronized boolean ended() {
        return mEnded;
    }

    /** Stops the exchange because the peer has cancelled it or disconnected. */
    synchronized void cancel() {
        if (mEnded) {
            return;
        }
        finish();
        mOutbox.drop(mStream);
        mCancelled = true;
        if (mCancellation != null) {
            mHandlers.execute(mCancellation::cancel);
        }
    }

    /**
     * Adds credit.
     *
     * @param bytes the additional bytes
     * @return whether the credit stays within the window
     */
    synchronized boolean credit(int bytes) {
        mCredit += bytes;
        sendWithinCredit();
        return mCredit <= PeerLimits.STREAM_WINDOW_BYTES;
    }

    /**
     * Sends waiting bytes as far as credit allows, and the end after the last one.
     *
     * @return whether no bytes are waiting
     */
    private boolean sendWithinCredit() {
        while (!mWrites.isEmpty()) {
            PendingWrite write = mWrites.peek();
            sendChunks(write.bytes());
            if (write.bytes().hasRemaining()) {
                return false;
            }
            mWrites.remove();
            mHandlers.execute(() -> write.done().complete(null));
        }
        if (mEnding && !mEnded) {
            finish();
            mOutbox.append(mStream, List.of(new Frame.End(mStream)));
        }
        return true;
    }

    /**
     * Sends the bytes of one write as far as credit allows.
     *
     * @param bytes the bytes
     */
    private void sendChunks(ByteBuffer bytes) {
        while (bytes.hasRemaining() && mCredit > 0) {
            int length = Math.min(bytes.remaining(), Math.min(mCredit, PeerLimits.CHUNK_BYTES));
            byte[] chunk = new byte[length];
            bytes.get(chunk);
            mCredit -= length;
            mOutbox.append(mStream, List.of(new Frame.AnswerChunk(mStream, chunk)));
        }
    }

    /** Ends the exchange and fails the waiting writes. */
    private void finish() {
        mEnded = true;
        for (PendingWrite write : mWrites) {
            mHandlers.execute(() -> write.done().completeExceptionally(exchangeEnded()));
        }
        mWrites.clear();
        mOnEnd.run();
    }

    /**
     * Creates the failure of a write after the end of the exchange.
     *
     * @return the failure
     */
    private static CancellationException exchangeEnded() {
        return new CancellationException("the exchange has ended");
    }

    /**
     * Holds a write that waits for credit.
     *
     * @param bytes the bytes that were not yet sent
     * @param done completes when all were sent
     */
    private record PendingWrite(ByteBuffer bytes, CompletableFuture<Void> done) {}
}
