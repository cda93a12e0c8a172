package org.magnoliaseam.gateway;

/**
 * Tracks the results of attempts at one backend server and ejects the server temporarily after
 * consecutive failures. Not thread-safe.
 */
final class FailureHistory {

    /** The weight of the latest attempt in the moving average of the failure rate. */
    private static final double LATEST_WEIGHT = 0.15;

    /** The consecutive failures that eject a backend server. */
    private static final int EJECTING_FAILURES = 2;

    /** The shortest ejection in nanoseconds. */
    private static final long SHORTEST_NANOS = 400_000_000L;

    /** The longest ejection in nanoseconds. */
    private static final long LONGEST_NANOS = 3_200_000_000L;

    /** The moving average of failed attempts, from 0 to 1. */
    private double mRate;

    /** The failures since the last success. */
    private int mConsecutive;

    /** The length of the last ejection in nanoseconds. */
    private long mEjectionNanos;

    /** The local monotonic time at which the ejection ends. */
    private long mEjectedUntilNanos;

    /** Whether the backend server has been ejected since its last success. */
    private boolean mEjected;

    /** Counts a successful attempt. */
    void succeeded() {
        mRate *= 1 - LATEST_WEIGHT;
        mConsecutive = 0;
        mEjected = false;
        mEjectionNanos /= 2;
    }

    /**
     * Counts a failed attempt.
     *
     * @param unreachable whether no connection could be made, which ejects at once
     * @param nowNanos the local monotonic time
     */
    void failed(boolean unreachable, long nowNanos) {
        mRate += LATEST_WEIGHT * (1 - mRate);
        mConsecutive++;
        if (unreachable || mConsecutive >= EJECTING_FAILURES) {
            long doubled = Math.max(SHORTEST_NANOS, 2 * mEjectionNanos);
            mEjectionNanos = Math.min(LONGEST_NANOS, doubled);
            mEjectedUntilNanos = nowNanos + mEjectionNanos;
            mEjected = true;
        }
    }

    /**
     * Tells whether the backend server is ejected and gets no new work.
     *
     * @param active the attempts in progress there that are not known to be silent; after the
     *     ejection time it gets one at a time as a probe until one succeeds
     * @param nowNanos the local monotonic time
     * @return true while it is ejected
     */
    boolean ejected(int active, long nowNanos) {
        return mEjected && (nowNanos - mEjectedUntilNanos < 0 || active > 0);
    }

    /**
     * Returns the moving average of failed attempts.
     *
     * @return a number from 0 to 1
     */
    double rate() {
        return mRate;
    }
}
