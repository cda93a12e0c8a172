package org.magnoliaseam.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/** Counts events in a sliding window of whole seconds. Not thread-safe. */
final class SlidingWindowCounter {

    /** The length of the window in seconds. */
    static final long WINDOW_SECONDS = 10;

    /**
     * Holds the events of one second.
     *
     * @param second the local monotonic time in whole seconds
     * @param count the number of events
     */
    private record Bucket(long second, long count) {}

    /** The events by second, the oldest first. */
    private final Deque<Bucket> mBuckets = new ArrayDeque<>();

    /** The number of events in all buckets. */
    private long mSum;

    /**
     * Adds events.
     *
     * @param count the number of events
     * @param nowNanos the local monotonic time
     */
    void add(long count, long nowNanos) {
        long second = TimeUnit.NANOSECONDS.toSeconds(nowNanos);
        Bucket last = mBuckets.peekLast();
        if (last != null && last.second() == second) {
            mBuckets.removeLast();
            mBuckets.addLast(new Bucket(second, last.count() + count));
        } else {
            mBuckets.addLast(new Bucket(second, count));
        }
        mSum += count;
    }

    /**
     * Returns the number of events in the window and drops older ones.
     *
     * @param nowNanos the local monotonic time
     * @return the number of events
     */
    long sum(long nowNanos) {
        long oldest = TimeUnit.NANOSECONDS.toSeconds(nowNanos) - WINDOW_SECONDS;
        while (!mBuckets.isEmpty() && mBuckets.getFirst().second() <= oldest) {
            mSum -= mBuckets.removeFirst().count();
        }
        return mSum;
    }
}
