package org.magnoliaseam.dispatch;

import java.time.Duration;
import org.magnoliaseam.settings.RequestClass;

/**
 * Tracks the guaranteed share of starts of one class and model. While its requests wait, every
 * start on a server that may run them adds the guaranteed share to a credit. The class is overdue
 * when the credit reaches one start, or when none of its requests has been started for a long time.
 */
final class ClassShare {

    /** The smallest share; a class configured with less gets this one. */
    static final double MINIMUM_SHARE = 0.005;

    /** The longest time without a start while requests of the class wait, in nanoseconds. */
    static final long MAX_START_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();

    /** The upper limit of the credit, in starts. */
    private static final double MAX_CREDIT = 2.0;

    /** The tolerance for rounding errors in sums of shares. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    /** The class in the current configuration. */
    private RequestClass mRequestClass;

    /** The credit of the class, in starts. */
    private double mCredit;

    /** The number of waiting requests. */
    private int mWaiting;

    /** The time of the last start, or the time since which requests wait if that is later. */
    private long mNoStartSinceNanos;

    /** Whether the credit reaches one start. */
    private boolean mStartEarned;

    /** The time since which the credit reaches one start. */
    private long mEarnedNanos;

    /**
     * Creates the share of a class without waiting requests.
     *
     * @param requestClass the class
     */
    ClassShare(RequestClass requestClass) {
        mRequestClass = requestClass;
    }

    /**
     * Replaces the class after a change of the configuration.
     *
     * @param requestClass the class
     */
    void requestClass(RequestClass requestClass) {
        mRequestClass = requestClass;
    }

    /**
     * Counts a request that was added to a queue of the class.
     *
     * @param nowNanos the local monotonic time
     */
    void added(long nowNanos) {
        if (mWaiting == 0) {
            mNoStartSinceNanos = nowNanos;
        }
        mWaiting++;
    }

    /** Counts a request that left its queue; the last one that leaves resets the credit. */
    void removed() {
        mWaiting--;
        if (mWaiting == 0) {
            mCredit = 0;
            mStartEarned = false;
        }
    }

    /**
     * Counts the start of a request of this class, before it is removed from the queue.
     *
     * @param nowNanos the local monotonic time
     */
    void countOwnStart(long nowNanos) {
        mNoStartSinceNanos = nowNanos;
        mCredit = Math.max(0, mCredit - 1);
        mStartEarned = mCredit >= 1 - ROUNDING_TOLERANCE;
        mEarnedNanos = nowNanos;
    }

    /**
     * Counts the start of a request of any class on a server that may run this class.
     *
     * @param nowNanos the local monotonic time
     */
    void countStart(long nowNanos) {
        if (mWaiting == 0) {
            return;
        }
        double share = Math.max(MINIMUM_SHARE, mRequestClass.guaranteedShare());
        mCredit = Math.min(MAX_CREDIT, mCredit + share);
        if (!mStartEarned && mCredit >= 1 - ROUNDING_TOLERANCE) {
            mStartEarned = true;
            mEarnedNanos = nowNanos;
        }
    }

    /**
     * Returns the time from which the class is overdue.
     *
     * @return the local monotonic time, which may be in the future; {@link Long#MAX_VALUE} if no
     *     request of the class waits
     */
    long overdueSinceNanos() {
        if (mWaiting == 0) {
            return Long.MAX_VALUE;
        }
        long limit = mNoStartSinceNanos + startIntervalNanos();
        return mStartEarned ? Math.min(limit, mEarnedNanos) : limit;
    }

    /**
     * Returns the longest time without a start while requests of the class wait. It is at most half
     * the longest wait of the class, so that some requests are started before all of them expire.
     *
     * @return the interval in nanoseconds
     */
    private long startIntervalNanos() {
        return Math.min(MAX_START_INTERVAL_NANOS, mRequestClass.maxQueueWait().toNanos() / 2);
    }
}
