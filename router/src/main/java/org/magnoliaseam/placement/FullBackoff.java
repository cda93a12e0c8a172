package org.magnoliaseam.placement;

/**
 * Keeps the requests of one entry VM away from a server for a short time after it refused one
 * because it was full. The time grows while the refusals repeat. After it, one request at a time
 * probes the server until it accepts one. Not thread-safe.
 */
public final class FullBackoff {

    /**
     * The shortest time, in nanoseconds. Shorter ones would send more requests to a full server
     * than it completes.
     */
    static final long SHORTEST_NANOS = 50_000_000L;

    /** The longest time without its random part, in nanoseconds. */
    static final long LONGEST_NANOS = 800_000_000L;

    /** The length of the last time without its random part, in nanoseconds; 0 if there is none. */
    private long mLengthNanos;

    /** The local monotonic time at which the current time ends. */
    private long mUntilNanos;

    /** Whether the server has accepted no request since its last refusal. */
    private boolean mProbing;

    /**
     * Records a refusal.
     *
     * @param draw a number from 0 to below 1 that differs between entry VMs, so that those that
     *     were refused together do not return together
     * @param nowNanos the local monotonic time
     * @return true if no time was running, so that a new one begins
     */
    public boolean refused(double draw, long nowNanos) {
        if (isActive(nowNanos)) {
            return false;
        }
        mLengthNanos = Math.min(LONGEST_NANOS, Math.max(SHORTEST_NANOS, 2 * mLengthNanos));
        mUntilNanos = nowNanos + mLengthNanos + (long) (draw * mLengthNanos);
        mProbing = true;
        return true;
    }

    /** Records that the server accepted a request. */
    public void accepted() {
        mProbing = false;
        mLengthNanos /= 2;
    }

    /**
     * Tells whether the server gets no request now.
     *
     * @param running the attempts of this entry VM in progress there
     * @param nowNanos the local monotonic time
     * @return true until the end of the time, and after it while a probe is in progress
     */
    public boolean closes(int running, long nowNanos) {
        return isActive(nowNanos) || mProbing && running > 0;
    }

    /**
     * Tells whether the time is running.
     *
     * @param nowNanos the local monotonic time
     * @return true until its end
     */
    private boolean isActive(long nowNanos) {
        return mProbing && nowNanos - mUntilNanos < 0;
    }

    /**
     * Returns the length of the last time without its random part.
     *
     * @return the length in nanoseconds
     */
    public long lengthNanos() {
        return mLengthNanos;
    }
}
