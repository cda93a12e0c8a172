package org.magnoliaseam.retry;

/**
 * Limits the retries of one entry VM in a sliding window to a fraction of its first tries plus a
 * fixed allowance. If the entry VMs divide a total allowance among them, the retries of all entry
 * VMs stay within the fraction plus the total allowance without communication. Not thread-safe.
 */
public final class WindowedRetries {

    /** The first tries in the window. */
    private final SlidingWindowCounter mFirstTries = new SlidingWindowCounter();

    /** The retries in the window. */
    private final SlidingWindowCounter mRetries = new SlidingWindowCounter();

    /**
     * Counts a first try.
     *
     * @param nowNanos the local monotonic time
     */
    public void firstTry(long nowNanos) {
        mFirstTries.add(1, nowNanos);
    }

    /**
     * Counts one retry if the limit allows it.
     *
     * @param fraction the allowed retries as a fraction of first tries
     * @param allowance the retries in the window that are allowed in addition
     * @param nowNanos the local monotonic time
     * @return true if the retry is allowed
     */
    public boolean take(double fraction, double allowance, long nowNanos) {
        if (!allows(fraction, allowance, nowNanos)) {
            return false;
        }
        mRetries.add(1, nowNanos);
        return true;
    }

    /**
     * Tells whether the limit allows one more retry, without counting it.
     *
     * @param fraction the allowed retries as a fraction of first tries
     * @param allowance the retries in the window that are allowed in addition
     * @param nowNanos the local monotonic time
     * @return true if {@link #take} would allow it
     */
    public boolean allows(double fraction, double allowance, long nowNanos) {
        double allowed = fraction * mFirstTries.sum(nowNanos) + allowance;
        return mRetries.sum(nowNanos) + 1 <= allowed;
    }
}
