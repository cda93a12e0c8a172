package org.magnoliaseam.testbed.engine;

/** Counts the work and failures of an engine. It is used by one thread. */
final class EngineCounter {

    /** The requests with a whole answer. */
    private long mCompleted;

    /** The requests that were cancelled or whose connection closed. */
    private long mCancelled;

    /** The generated tokens. */
    private long mGenerated;

    /** The tokens written to the connection. */
    private long mDelivered;

    /** The generated tokens of answers that were not finished. */
    private long mWasted;

    /** The tokens of finished answers that an earlier attempt had generated. */
    private long mResumed;

    /** The most requests at once after a start on the cold engine. */
    private int mMaxRunningWhileCold;

    /** The time in milliseconds for which the cold engine exceeded its limit. */
    private long mMillisAboveColdLimit;

    /** The time in milliseconds since which the cold engine exceeds its limit, or 0. */
    private long mAboveSinceMillis;

    /** The number of times that the cold engine failed because it exceeded its limit. */
    private long mFallsOver;

    /** The crashes by requests. */
    private long mCrashes;

    /** Counts a generated token. */
    void generated() {
        mGenerated++;
    }

    /** Counts a token written to the connection. */
    void delivered() {
        mDelivered++;
    }

    /**
     * Counts a finished answer.
     *
     * @param resumed the tokens that an earlier attempt had generated
     */
    void completed(int resumed) {
        mCompleted++;
        mResumed += resumed;
    }

    /**
     * Counts a request that was cancelled.
     *
     * @param tokens the tokens generated for it
     */
    void cancelled(int tokens) {
        mCancelled++;
        wasted(tokens);
    }

    /**
     * Counts tokens of an answer that is not finished.
     *
     * @param tokens the tokens
     */
    void wasted(int tokens) {
        mWasted += tokens;
    }

    /**
     * Records a start on the cold engine.
     *
     * @param running the requests that are running
     */
    void startedWhileCold(int running) {
        mMaxRunningWhileCold = Math.max(mMaxRunningWhileCold, running);
    }

    /** Counts a failure of the cold engine because it exceeded its limit. */
    void fellOver() {
        mFallsOver++;
    }

    /** Counts a crash. */
    void crashed() {
        mCrashes++;
    }

    /**
     * Measures the time for which the cold engine exceeds its limit.
     *
     * @param aboveColdLimit whether it does so now
     * @param nowMillis the current time in milliseconds since the epoch
     */
    void observe(boolean aboveColdLimit, long nowMillis) {
        if (mAboveSinceMillis != 0) {
            mMillisAboveColdLimit += nowMillis - mAboveSinceMillis;
        }
        mAboveSinceMillis = aboveColdLimit ? nowMillis : 0;
    }

    /**
     * Returns the counts.
     *
     * @param starts the accepted requests
     * @param running the requests that are running
     * @return the counts so far
     */
    EngineCounts counts(long starts, int running) {
        return new EngineCounts(
                starts,
                mCompleted,
                mCancelled,
                mGenerated,
                mDelivered,
                mWasted,
                mResumed,
                mMaxRunningWhileCold,
                mMillisAboveColdLimit,
                mFallsOver,
                mCrashes,
                running);
    }
}
