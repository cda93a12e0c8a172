package org.magnoliaseam.testbed.soak;

import java.util.ArrayList;
import java.util.List;

/** Records the intervals in which a fault disturbed a process or a link. Thread-safe. */
final class DisturbanceLog {

    /** The time after a disturbance in which time limits are not checked, in nanoseconds. */
    static final long SETTLE_NANOS = 3_000_000_000L;

    /** All disturbances so far, in the order in which they began. */
    private final List<Interval> mIntervals = new ArrayList<>();

    /** Holds the interval of one disturbance. */
    static final class Interval {

        /** The local monotonic time of the beginning. */
        private final long mBeginNanos;

        /** The local monotonic time of the end; the largest number while it lasts. */
        private volatile long mEndNanos = Long.MAX_VALUE;

        /**
         * Begins a disturbance.
         *
         * @param beginNanos the local monotonic time
         */
        private Interval(long beginNanos) {
            mBeginNanos = beginNanos;
        }

        /** Ends the disturbance. */
        void end() {
            mEndNanos = System.nanoTime();
        }
    }

    /**
     * Begins a disturbance.
     *
     * @return the interval, which the owner of the fault ends
     */
    synchronized Interval begin() {
        Interval interval = new Interval(System.nanoTime());
        mIntervals.add(interval);
        return interval;
    }

    /**
     * Tells whether no disturbance overlapped a period or the settling time before it.
     *
     * @param fromNanos the local monotonic time at the start of the period
     * @param toNanos the local monotonic time at the end of the period
     * @return true if there was no disturbance
     */
    synchronized boolean undisturbed(long fromNanos, long toNanos) {
        for (Interval interval : mIntervals) {
            boolean over =
                    interval.mEndNanos != Long.MAX_VALUE
                            && interval.mEndNanos + SETTLE_NANOS < fromNanos;
            if (!over && interval.mBeginNanos <= toNanos) {
                return false;
            }
        }
        return true;
    }

    /**
     * Counts the disturbances that overlap a period.
     *
     * @param fromNanos the local monotonic time at the start of the period
     * @param toNanos the local monotonic time at the end of the period
     * @return the number
     */
    synchronized int count(long fromNanos, long toNanos) {
        int count = 0;
        for (Interval interval : mIntervals) {
            boolean before = interval.mEndNanos < fromNanos;
            count += !before && interval.mBeginNanos <= toNanos ? 1 : 0;
        }
        return count;
    }
}
