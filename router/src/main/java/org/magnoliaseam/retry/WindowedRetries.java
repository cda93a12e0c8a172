package org.magnoliaseam.retry;

/**
 * Limits the retries of one entry VM in a sliding window to a fraction of its first tries and a
 * share of a slack. The sum over all entry VMs stays within the fraction and the slack without
 * messages. Not thread-safe.
 */
public final class WindowedRetries {

    /** The first tries lately. */
    private final SlidingCount mFirstTries = new SlidingCount();

    /** The retries lately. */
    private final SlidingCount mRetries = new SlidingCount();

    /**
     * Counts a first try.
     *
     * @param nowNanos the local monotonic time
     */
    public void firstTry(long nowNanos) {
        mFirstTries.add(1, nowNanos);
    }

    /**
     * Takes one retry if the window has room for it.
     *
     * @param fraction the retries allowed as a fraction of first tries
     * @param slack the retries allowed on top
     * @param nowNanos the local monotonic time
     * @return true if the request may be tried again
     */
    public boolean take(double fraction, double slack, long nowNanos) {
        double allowed = fraction * mFirstTries.sum(nowNanos) + slack;
        if (mRetries.sum(nowNanos) + 1 > allowed) {
            return false;
        }
        mRetries.add(1, nowNanos);
        return true;
    }
}
