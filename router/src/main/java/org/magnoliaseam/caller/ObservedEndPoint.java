package org.magnoliaseam.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Detects that a caller closes its connection while its request is in progress. Jetty does not read
 * from the connection during that time, so this end point reads ahead and buffers the bytes. It
 * also ends the input when receiving a request takes longer than a limit; an idle timeout does not
 * apply to a caller that sends a byte now and then.
 *
 * <p>The connection and the observer read on different threads. One of them reads at a time, so
 * that the connection gets the bytes in the order in which they arrived.
 */
public final class ObservedEndPoint extends DelegatingEndPoint {

    /** The size of the read-ahead buffer, in bytes. */
    private static final int READ_AHEAD_BYTES = 4096;

    /** The wrapped end point. */
    private final EndPoint mEndPoint;

    /** Runs the callbacks of the connection. */
    private final Executor mExecutor;

    /** The time limit for receiving a request, in nanoseconds. */
    private final long mReceiveLimitNanos;

    /** Returns the published idle time in milliseconds; 0 if there is none. */
    private final LongSupplier mIdleMillis;

    /** Counts the connections that end without an answer. */
    private final ConnectionNotices mNotices;

    /** The clock. */
    private final MonotonicClock mClock;

    /** The buffered bytes that the connection has not read yet; empty if none. */
    private ByteBuffer mBuffered = BufferUtil.EMPTY_BUFFER;

    /** Whether reading ahead reached the end of the input. */
    private boolean mEndOfInput;

    /** The callback of the connection waiting to read; null if it is not waiting. */
    private Callback mReadCallback;

    /** Runs when the caller closes the connection; null if the connection is not observed. */
    private Runnable mOnClosed;

    /** Whether the connection or the observer is reading from the wrapped end point. */
    private boolean mReading;

    /** Whether a part of a request has been received, but not all of it. */
    private boolean mReceiving;

    /** Whether that part consists of line ends, which may also come between two requests. */
    private boolean mOnlyLineEnds;

    /** The local monotonic time at which the first part of the request was received. */
    private long mReceivingSinceNanos;

    /** Whether a read callback is registered with the wrapped end point. */
    private boolean mRegistered;

    /**
     * Creates an end point.
     *
     * @param endPoint the end point to wrap
     * @param executor runs the callbacks of the connection
     * @param receiveLimitMillis the time limit for receiving a request, in milliseconds
     * @param idleMillis returns the published idle time in milliseconds; 0 if there is none
     * @param notices counts the connections that end without an answer
     * @param clock the clock
     */
    ObservedEndPoint(
            EndPoint endPoint,
            Executor executor,
            long receiveLimitMillis,
            LongSupplier idleMillis,
            ConnectionNotices notices,
            MonotonicClock clock) {
        super(endPoint);
        mEndPoint = endPoint;
        mExecutor = executor;
        mReceiveLimitNanos = TimeUnit.MILLISECONDS.toNanos(receiveLimitMillis);
        mIdleMillis = idleMillis;
        mNotices = notices;
        mClock = clock;
    }

    /**
     * Observes the connection until it waits for its next request or {@link #forget} is called.
     *
     * @param onClosed runs at most once, when the caller has closed the connection
     */
    public void observe(Runnable onClosed) {
        boolean closed;
        synchronized (this) {
            closed = mEndOfInput;
            mOnClosed = closed ? null : onClosed;
        }
        if (closed) {
            onClosed.run();
        } else {
            register();
        }
    }

    /** Ends the observation. */
    public synchronized void forget() {
        mOnClosed = null;
    }

    /**
     * Ends the time limit for a request that has been answered, and notes an unread body.
     *
     * @param hasBody whether the request has a body
     */
    synchronized void answered(boolean hasBody) {
        if (mReceiving && hasBody) {
            mNotices.ended(UnansweredEnd.UNREAD_BODY, null);
        }
        mReceiving = false;
    }

    /**
     * Notes that handling a request failed.
     *
     * @param cause the exception
     */
    public void failed(Throwable cause) {
        mNotices.ended(UnansweredEnd.EXCEPTION, cause);
    }

    /** Ends the time limit for a request that has been received whole. */
    synchronized void received() {
        mReceiving = false;
    }

    /**
     * Tells whether the connection waits for the first byte of a request.
     *
     * @return false while a request is received or in progress
     */
    synchronized boolean isIdle() {
        return mReadCallback != null && (!mReceiving || mOnlyLineEnds);
    }

    /**
     * Tells whether a request that was received whole is not yet answered, or its answer is still
     * being written to the connection.
     *
     * @return false while the connection waits for a request or receives one
     */
    synchronized boolean isAnswering() {
        return mReadCallback == null && !mReceiving;
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        synchronized (this) {
            if (mBuffered.hasRemaining()) {
                int position = BufferUtil.flipToFill(buffer);
                int moved = BufferUtil.put(mBuffered, buffer);
                BufferUtil.flipToFlush(buffer, position);
                countReceived(buffer, moved);
                return moved;
            }
            if (mEndOfInput) {
                return -1;
            }
            if (mReading) {
                return 0;
            }
            mReading = true;
        }
        int filled;
        try {
            filled = mEndPoint.fill(buffer);
        } finally {
            endRead();
        }
        return countReceived(buffer, filled) ? filled : -1;
    }

    /**
     * Starts the time limit for receiving a request with its first bytes, and ends the input when
     * bytes are received after the limit. Line ends before a request do not belong to it.
     *
     * @param buffer the buffer that ends with the bytes received
     * @param count the number of bytes received
     * @return false if the limit has passed
     */
    private synchronized boolean countReceived(ByteBuffer buffer, int count) {
        if (count <= 0) {
            return true;
        }
        long now = mClock.nanos();
        boolean onlyLineEnds = (!mReceiving || mOnlyLineEnds) && LineEnds.endBuffer(buffer, count);
        if (!mReceiving || mOnlyLineEnds && !onlyLineEnds) {
            mReceiving = true;
            mOnlyLineEnds = onlyLineEnds;
            mReceivingSinceNanos = now;
        } else if (now - mReceivingSinceNanos > mReceiveLimitNanos) {
            mEndOfInput = true;
            mNotices.ended(UnansweredEnd.RECEIVE_LIMIT, null);
        }
        return !mEndOfInput;
    }

    @Override
    public void fillInterested(Callback callback) {
        boolean ready;
        synchronized (this) {
            ready = mBuffered.hasRemaining() || mEndOfInput;
            mReadCallback = ready ? null : callback;
            mOnClosed = null;
        }
        if (ready) {
            mExecutor.execute(callback::succeeded);
        } else {
            register();
        }
    }

    @Override
    public boolean tryFillInterested(Callback callback) {
        if (isFillInterested()) {
            return false;
        }
        fillInterested(callback);
        return true;
    }

    @Override
    public synchronized boolean isFillInterested() {
        return mReadCallback != null;
    }

    /**
     * Registers one read callback that serves both the connection and the observer. A read in
     * progress registers it at its end.
     */
    private void register() {
        synchronized (this) {
            boolean awaited = mReadCallback != null || mOnClosed != null;
            if (mRegistered || mReading || !awaited) {
                return;
            }
            mRegistered = true;
        }
        mEndPoint.fillInterested(Callback.from(this::readable, this::readFailed));
    }

    /** Notifies the connection if it waits to read; otherwise reads ahead for an observer. */
    private void readable() {
        Callback readCallback;
        synchronized (this) {
            mRegistered = false;
            readCallback = mReadCallback;
            mReadCallback = null;
            if (readCallback == null) {
                if (mOnClosed == null || mReading) {
                    return;
                }
                mReading = true;
            }
        }
        if (readCallback != null) {
            readCallback.succeeded();
        } else {
            readAhead();
        }
    }

    /**
     * Handles a failure to read: notifies the connection if it waits to read, and the observer
     * otherwise. An idle timeout does not end the observation, nor a connection that its caller may
     * still use.
     *
     * @param cause the failure
     */
    private void readFailed(Throwable cause) {
        Callback readCallback;
        boolean receiving;
        synchronized (this) {
            mRegistered = false;
            receiving = mReceiving;
            boolean waits = cause instanceof TimeoutException && isIdle() && prolongIdleTime();
            readCallback = waits ? null : mReadCallback;
            mReadCallback = waits ? mReadCallback : null;
        }
        if (readCallback != null) {
            if (receiving && cause instanceof TimeoutException) {
                mNotices.ended(UnansweredEnd.IDLE, null);
            }
            readCallback.failed(cause);
        } else if (cause instanceof TimeoutException) {
            register();
        } else {
            closed();
        }
    }

    /**
     * Sets the idle timeout of the connection to the published idle time if that is longer.
     *
     * @return true if it is
     */
    private boolean prolongIdleTime() {
        long published = mIdleMillis.getAsLong();
        boolean longer = published > mEndPoint.getIdleTimeout();
        if (longer) {
            mEndPoint.setIdleTimeout(published);
        }
        return longer;
    }

    /** Reads the available bytes to detect whether the caller has closed the connection. */
    private void readAhead() {
        ByteBuffer bytes = BufferUtil.allocate(READ_AHEAD_BYTES);
        int count;
        try {
            count = mEndPoint.fill(bytes);
        } catch (IOException e) {
            count = -1;
        }
        if (count > 0) {
            buffer(bytes);
        } else if (count < 0) {
            closed();
        } else {
            endRead();
        }
    }

    /** Ends a read that leaves the next one to whoever waits to read. */
    private void endRead() {
        synchronized (this) {
            mReading = false;
        }
        register();
    }

    /**
     * Buffers bytes for the connection and stops reading ahead, since they belong to its next
     * request.
     *
     * @param bytes the bytes
     */
    private void buffer(ByteBuffer bytes) {
        Callback readCallback;
        synchronized (this) {
            mBuffered = bytes;
            mReading = false;
            readCallback = mReadCallback;
            mReadCallback = null;
        }
        if (readCallback != null) {
            readCallback.succeeded();
        }
    }

    /** Notifies the observer and the connection that the input has ended. */
    private void closed() {
        Runnable onClosed;
        Callback readCallback;
        synchronized (this) {
            mEndOfInput = true;
            mReading = false;
            onClosed = mOnClosed;
            mOnClosed = null;
            readCallback = mReadCallback;
            mReadCallback = null;
        }
        if (onClosed != null) {
            onClosed.run();
        }
        if (readCallback != null) {
            readCallback.succeeded();
        }
    }
}
