package org.magnoliaseam.gateway;

/** Tells how far a planned stop of the process has come. Thread-safe. */
public final class StopState {

    /** Whether the process is leaving and answers close their connections. */
    private volatile boolean mLeaving;

    /** Whether the process takes no new request. */
    private volatile boolean mClosed;

    /** Begins the stop: the process is no longer ready but takes requests. */
    public void leave() {
        mLeaving = true;
    }

    /** Ends the time in which new requests are taken. */
    public void close() {
        mClosed = true;
    }

    /**
     * Tells whether the process is leaving.
     *
     * @return true from the beginning of the stop
     */
    public boolean leaving() {
        return mLeaving;
    }

    /**
     * Tells whether the process takes no new request.
     *
     * @return true once what arrives can no longer be served in time
     */
    public boolean closed() {
        return mClosed;
    }
}
