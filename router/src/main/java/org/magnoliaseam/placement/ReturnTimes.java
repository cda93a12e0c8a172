package org.magnoliaseam.placement;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tells refused callers when to come back. The callers of one account and priority come back in the
 * order in which they were refused, at the rate at which requests are started, so that they do not
 * return together. A request that is repeated before its time is recognized. Not thread-safe.
 */
public final class ReturnTimes {

    /** The largest number of accounts and priorities; beyond them the one unused for longest. */
    private static final int MAX_QUEUES = 256;

    /** The largest number of refused requests that are remembered, the latest ones. */
    private static final int MAX_MARKS = 1024;

    /** The time between two returns while the rate of starts is not known, in milliseconds. */
    private static final double UNKNOWN_GAP_MILLIS = 10;

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1000;

    /** The number of nanoseconds in a millisecond. */
    private static final double NANOS_PER_MILLI = 1e6;

    /** The local monotonic time of the last return of each account and priority. */
    private final Map<Queue, Long> mReturns = new LinkedHashMap<>(16, 0.75f, true);

    /** The local monotonic time before which a refused request comes too early, by its mark. */
    private final Map<Integer, Long> mMarks = new LinkedHashMap<>();

    /** The latest of these times. */
    private long mLatest;

    /** Whether a request has been refused. */
    private boolean mUsed;

    /**
     * Describes a refused request.
     *
     * @param account its account; empty if it has none
     * @param priority its priority
     * @param mark a hash that its repetitions have as well
     */
    public record Refused(String account, int priority, int mark) {}

    /**
     * Names the refused requests that return in order.
     *
     * @param account the account; empty if the requests have none
     * @param priority the priority
     */
    private record Queue(String account, int priority) {}

    /**
     * Returns the delay after which a refused caller should come back.
     *
     * @param refused its request
     * @param shortestMillis the shortest delay, in milliseconds
     * @param longestMillis the longest delay, in milliseconds, which takes precedence
     * @param startsPerSecond the rate at which requests are started; 0 if it is not known
     * @param nowNanos the local monotonic time
     * @return the delay in milliseconds
     */
    public long delayMillis(
            Refused refused,
            double shortestMillis,
            double longestMillis,
            double startsPerSecond,
            long nowNanos) {
        Queue queue = new Queue(refused.account(), refused.priority());
        double gap = startsPerSecond > 0 ? MILLIS_PER_SECOND / startsPerSecond : UNKNOWN_GAP_MILLIS;
        Long last = mReturns.get(queue);
        double turn = last == null ? 0 : (last - nowNanos) / NANOS_PER_MILLI + gap;
        double delay = Math.min(Math.max(shortestMillis, turn), longestMillis);
        long returns = nowNanos + (long) (delay * NANOS_PER_MILLI);
        mReturns.put(queue, last == null ? returns : Math.max(last, returns));
        if (mReturns.size() > MAX_QUEUES) {
            mReturns.remove(mReturns.keySet().iterator().next());
        }
        remember(refused.mark(), returns);
        return (long) Math.ceil(delay);
    }

    /**
     * Remembers when a refused request may return.
     *
     * @param mark its mark
     * @param returnNanos the local monotonic time
     */
    private void remember(int mark, long returnNanos) {
        mLatest = mUsed ? Math.max(mLatest, returnNanos) : returnNanos;
        mUsed = true;
        mMarks.remove(mark);
        mMarks.put(mark, returnNanos);
        if (mMarks.size() > MAX_MARKS) {
            mMarks.remove(mMarks.keySet().iterator().next());
        }
    }

    /**
     * Tells whether callers are still to return, so that requests have to be compared.
     *
     * @param nowNanos the local monotonic time
     * @return true if the time of a refused request is not over
     */
    public boolean isAwaiting(long nowNanos) {
        return mUsed && mLatest - nowNanos > 0;
    }

    /**
     * Tells whether a request was refused and returns before its time.
     *
     * @param mark its mark
     * @param nowNanos the local monotonic time
     * @return true if it is too early
     */
    public boolean isEarly(int mark, long nowNanos) {
        Long returns = mMarks.get(mark);
        return returns != null && returns - nowNanos > 0;
    }
}
