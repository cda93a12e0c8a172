package org.magnoliaseam.coldstart;

/**
 * Detects a slow server by comparing its recent time to the first token with its long-term average.
 * Not thread-safe.
 */
final class FirstTokenHistory {

    /** The ratio of recent to average time above which a server counts as slow. */
    private static final double SLOW_RATIO = 4;

    /** The recent time up to which a server never counts as slow, in milliseconds. */
    private static final double SLOW_FLOOR_MILLIS = 1000;

    /** The number of samples needed before the average is used. */
    private static final int MIN_SAMPLES = 20;

    /** The weight of a new sample in the long-term average. */
    private static final double LONG_TERM_WEIGHT = 0.02;

    /** The weight of a new sample in the recent average. */
    private static final double RECENT_WEIGHT = 0.3;

    /** The long-term average of the time to the first token in milliseconds. */
    private double mLongTermMillis;

    /** The recent average of the time to the first token in milliseconds. */
    private double mRecentMillis;

    /** The number of samples so far. */
    private int mSamples;

    /**
     * Adds a sample of a warm server.
     *
     * @param millis the time to the first token in milliseconds
     */
    void add(double millis) {
        mSamples++;
        mLongTermMillis += (millis - mLongTermMillis) * Math.max(1.0 / mSamples, LONG_TERM_WEIGHT);
        double weight = mSamples == 1 ? 1 : RECENT_WEIGHT;
        mRecentMillis += (millis - mRecentMillis) * weight;
    }

    /**
     * Resets the recent average to the long-term one, because the server is in cold start anyway.
     */
    void resetRecent() {
        mRecentMillis = mLongTermMillis;
    }

    /**
     * Returns whether the recent average is far above the long-term one.
     *
     * @return true if the server is slow
     */
    boolean isSlow() {
        return isSlow(mRecentMillis);
    }

    /**
     * Returns whether a time is far above the long-term average.
     *
     * @param millis the time to the first token in milliseconds
     * @return true if the time is slow
     */
    boolean isSlow(double millis) {
        return mSamples >= MIN_SAMPLES
                && millis > SLOW_FLOOR_MILLIS
                && millis > SLOW_RATIO * mLongTermMillis;
    }
}
