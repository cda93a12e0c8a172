package org.magnoliaseam.gateway;

/**
 * Remembers how the tries at one backend server ended and ejects it for a while when they fail one
 * after another. Not thread-safe.
 */
final class FailureHistory {

    /** The weight of the latest try in the failure rate. */
    private static final double LATEST_WEIGHT = 0.15;

    /** The failures in a row that eject a backend server. */
    private static final int EJECTING_FAILURES = 2;

    /** The shortest ejection in nanoseconds. */
    private static final long SHORTEST_NANOS = 400_000_000L;

    /** The longest ejection in nanoseconds. */
    private static final long LONGEST_NANOS = 3_200_000_000L;

    /** The share of failed tries lately, from 0 to 1. */
    private double mRate;

    /** The failures since the last success. */
    private int mInRow;

    /** The length of the last ejection in nanoseconds. */
    private long mEjectionNanos;

    /** The local monotonic time at which the ejection ends. */
    private long mEjectedUntilNanos;

    /** Whether the backend server has been ejected since its last success. */
    private boolean mEjected;

    /** Counts a try that ended well. */
    void succeeded() {
        mRate *= 1 - LATEST_WEIGHT;
        mInRow = 0;
        mEjected = false;
        mEjectionNanos /= 2;
    }

    /**
     * Counts a failed try.
     *
     * @param unreachable whether no connection could be made, which ejects at once
     * @param nowNanos the local monotonic time
     */
    void failed(boolean unreachable, long nowNanos) {
        mRate += LATEST_WEIGHT * (1 - mRate);
        mInRow++;
        if (unreachable || mInRow >= EJECTING_FAILURES) {
            long doubled = Math.max(SHORTEST_NANOS, 2 * mEjectionNanos);
            mEjectionNanos = Math.min(LONGEST_NANOS, doubled);
            mEjectedUntilNanos = nowNanos + mEjectionNanos;
            mEjected = true;
        }
    }

    /**
     * Tells whether the backend server should get no work for now.
     *
     * @param running the tries that run there; after an ejection one at a time tests it
     * @param nowNanos the local monotonic time
     * @return true while it is ejected
     */
    boolean ejected(int running, long nowNanos) {
        return mEjected && (nowNanos - mEjectedUntilNanos < 0 || running > 0);
    }

    /**
     * Returns the share of failed tries lately.
     *
     * @return a number from 0 to 1
     */
    double rate() {
        return mRate;
    }
}
