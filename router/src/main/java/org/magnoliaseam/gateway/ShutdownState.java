package org.magnoliaseam.gateway;

/** Tracks the progress of a planned shutdown of the process. Thread-safe. */
public final class ShutdownState {

    /** Whether the shutdown has begun and answers close their connections. */
    private volatile boolean mLeaving;

    /** Whether the process rejects new requests. */
    private volatile boolean mClosed;

    /** The local monotonic time at which requests in progress are ended. */
    private volatile long mEndNanos;

    /**
     * Begins the shutdown: the process is no longer ready but still accepts requests.
     *
     * @param endNanos the local monotonic time at which requests in progress are ended
     */
    public void leave(long endNanos) {
        mEndNanos = endNanos;
        mLeaving = true;
    }

    /**
     * Tells whether a request may still run when the process ends.
     *
     * @param deadlineNanos the local monotonic time of its deadline
     * @return true if the shutdown has begun and ends before the deadline
     */
    public boolean mayOutlast(long deadlineNanos) {
        return mLeaving && deadlineNanos - mEndNanos > 0;
    }

    /** Stops accepting new requests. */
    public void close() {
        mClosed = true;
    }

    /**
     * Tells whether the shutdown has begun.
     *
     * @return true from the beginning of the shutdown
     */
    public boolean leaving() {
        return mLeaving;
    }

    /**
     * Tells whether the process rejects new requests.
     *
     * @return true once new requests could no longer be answered in time
     */
    public boolean closed() {
        return mClosed;
    }
}
