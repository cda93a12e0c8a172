package org.magnoliaseam.testbed.platform;

/** Counts all calls and those in the busiest second. Access is synchronized. */
public final class CallCounter {

    /** The length of the window in milliseconds. */
    private static final long WINDOW_MILLIS = 1000;

    /** The number of all calls. */
    private long mCalls;

    /** The second of the last call since the epoch. */
    private long mSecond;

    /** The number of calls in that second. */
    private long mInSecond;

    /** The number of calls in the busiest second. */
    private long mWorstSecond;

    /**
     * Counts a call.
     *
     * @param nowMillis the time of the call in milliseconds since the epoch
     */
    public synchronized void count(long nowMillis) {
        long second = nowMillis / WINDOW_MILLIS;
        if (second != mSecond) {
            mSecond = second;
            mInSecond = 0;
        }
        mCalls++;
        mInSecond++;
        mWorstSecond = Math.max(mWorstSecond, mInSecond);
    }

    /**
     * Returns the counts.
     *
     * @return the counts so far
     */
    public synchronized Counts counts() {
        return new Counts(mCalls, mWorstSecond);
    }

    /**
     * Holds the counts.
     *
     * @param calls the number of all calls
     * @param worstSecond the number of calls in the busiest second
     */
    public record Counts(long calls, long worstSecond) {}
}
