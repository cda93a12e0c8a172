package org.magnoliaseam.limit;

import java.util.concurrent.TimeUnit;

/** Limits the request rate and the number of open requests of one client account. Thread-safe. */
public final class AccountLimiter {

    /** The time over which unused tokens accumulate, in seconds. */
    private static final double BURST_SECONDS = 2.0;

    /** The number of open requests. */
    private int mInFlight;

    /** The tokens of the rate limit; each new request takes one. */
    private double mTokens;

    /** The local monotonic time of the last refill; undefined before the first request. */
    private long mRefilledNanos;

    /** Whether a request has arrived, which initializes the tokens. */
    private boolean mInitialized;

    /**
     * Opens a request if the limits allow it.
     *
     * @param requestsPerSecond the rate limit, in requests per second
     * @param maxInFlight the maximum number of open requests
     * @param nowNanos the local monotonic time
     * @return true if the request is accepted and counts as open
     */
    public synchronized boolean tryOpen(double requestsPerSecond, int maxInFlight, long nowNanos) {
        refill(requestsPerSecond, nowNanos);
        if (mInFlight >= maxInFlight || mTokens < 1.0) {
            return false;
        }
        mTokens -= 1.0;
        mInFlight++;
        return true;
    }

    /** Closes an open request. */
    public synchronized void close() {
        mInFlight--;
    }

    /**
     * Adds the tokens for the time since the last refill.
     *
     * @param requestsPerSecond the rate limit, in requests per second
     * @param nowNanos the local monotonic time
     */
    private void refill(double requestsPerSecond, long nowNanos) {
        double maxTokens = Math.max(1.0, requestsPerSecond * BURST_SECONDS);
        if (!mInitialized) {
            mInitialized = true;
            mTokens = maxTokens;
        } else {
            double seconds = (double) (nowNanos - mRefilledNanos) / TimeUnit.SECONDS.toNanos(1);
            mTokens = Math.min(maxTokens, mTokens + seconds * requestsPerSecond);
        }
        mRefilledNanos = nowNanos;
    }
}
