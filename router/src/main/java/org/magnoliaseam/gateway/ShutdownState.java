package org.magnoliaseam.gateway;

/** Tracks the progress of a planned shutdown of the process. Thread-safe. */
public final class ShutdownState {

    /** Whether the shutdown has begun and answers close their connections. */
    private volatile boolean mLeaving;

    /** Whether the process rejects new requests. */
    private volatile boolean mClosed;

    /** Begins the shutdown: the process is no longer ready but still accepts requests. */
    public void leave() {
        mLeaving = true;
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
