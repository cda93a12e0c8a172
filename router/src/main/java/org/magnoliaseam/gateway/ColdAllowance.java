package org.magnoliaseam.gateway;

/**
 * Limits the requests that one entry VM sends to a backend server in cold start, so that all entry
 * VMs together stay below what it bears. Not thread-safe.
 */
final class ColdAllowance {

    /** The most requests that may follow each other at once. */
    private static final double BURST = 1.0;

    /** The nanoseconds of a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** The requests that may be sent now; none at first, so that a restart allows no burst. */
    private double mAvailable;

    /** The local monotonic time of the last refill. */
    private long mRefilledNanos;

    /**
     * Creates an allowance.
     *
     * @param nowNanos the local monotonic time
     */
    ColdAllowance(long nowNanos) {
        mRefilledNanos = nowNanos;
    }

    /**
     * Takes the right to send one request.
     *
     * @param perSecond the share of this entry VM in requests a second
     * @param nowNanos the local monotonic time
     * @return true if the request may be sent now
     */
    boolean take(double perSecond, long nowNanos) {
        if (!available(perSecond, nowNanos)) {
            return false;
        }
        mAvailable -= 1;
        return true;
    }

    /**
     * Tells whether a request may be sent.
     *
     * @param perSecond the share of this entry VM in requests a second
     * @param nowNanos the local monotonic time
     * @return true if {@link #take} would allow it
     */
    boolean available(double perSecond, long nowNanos) {
        double elapsed = Math.max(0, nowNanos - mRefilledNanos) / NANOS_PER_SECOND;
        mAvailable = Math.min(BURST, mAvailable + elapsed * perSecond);
        mRefilledNanos = nowNanos;
        return mAvailable >= 1;
    }
}
