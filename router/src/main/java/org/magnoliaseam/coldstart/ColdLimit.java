package org.magnoliaseam.coldstart;

/**
 * Limits the requests that all entry VMs together may have running on a server in cold start. The
 * limit doubles with successful completions and drops to one after a failure. Not thread-safe.
 */
final class ColdLimit {

    /** The number of completions at the full cold limit after which a server counts as warm. */
    static final int WARM_COMPLETIONS = 4;

    /** The current limit; starts at one. */
    private int mLimit = 1;

    /** The number of completions since the limit last changed. */
    private int mCompletions;

    /** Resets the limit to one request. */
    void reset() {
        mLimit = 1;
        mCompletions = 0;
    }

    /**
     * Records a completion that was fast enough.
     *
     * @param coldLimit the number of requests that the server can run at once in cold start
     * @return true if the server now counts as warm
     */
    boolean completed(int coldLimit) {
        mCompletions++;
        if (mLimit >= coldLimit) {
            return mCompletions >= WARM_COMPLETIONS;
        }
        if (mCompletions >= mLimit) {
            mLimit = Math.min(coldLimit, mLimit * 2);
            mCompletions = 0;
        }
        return false;
    }

    /**
     * Returns the current limit.
     *
     * @param coldLimit the number of requests that the server can run at once in cold start
     * @return the number of requests that all entry VMs together may have running on the server
     */
    int limit(int coldLimit) {
        return Math.min(mLimit, coldLimit);
    }
}
