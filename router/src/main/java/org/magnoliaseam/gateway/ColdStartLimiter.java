package org.magnoliaseam.gateway;

/**
 * Limits the rate of requests from one entry VM to a backend server in cold start, so that all
 * entry VMs together stay below the limit of the server. Implements a token bucket. Not
 * thread-safe.
 */
final class ColdStartLimiter {

    /** The largest burst in requests. */
    private static final double BURST = 1.0;

    /** The number of nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * The tokens in the bucket, one per request. The bucket starts empty, so that a restart allows
     * no burst.
     */
    private double mAvailable;

    /** The local monotonic time of the last refill. */
    private long mRefilledNanos;

    /**
     * Creates a limiter with an empty bucket.
     *
     * @param nowNanos the local monotonic time
     */
    ColdStartLimiter(long nowNanos) {
        mRefilledNanos = nowNanos;
    }

    /**
     * Takes a token for one request if there is one.
     *
     * @param perSecond the rate of this entry VM in requests per second
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

    /** Gives back the token of a request that was not sent. */
    void giveBack() {
        mAvailable = Math.min(BURST, mAvailable + 1);
    }

    /**
     * Tells whether a request may be sent.
     *
     * @param perSecond the rate of this entry VM in requests per second
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
