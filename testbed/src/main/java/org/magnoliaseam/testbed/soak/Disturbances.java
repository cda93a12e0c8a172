package org.magnoliaseam.testbed.soak;

import java.util.ArrayList;
import java.util.List;

/** Remembers when a process or a link was disturbed. Thread-safe. */
final class Disturbances {

    /** The time after a disturbance in which bounds do not hold, in nanoseconds. */
    static final long SETTLE_NANOS = 3_000_000_000L;

    /** The disturbances. */
    private final List<Span> mSpans = new ArrayList<>();

    /** Holds one disturbance. */
    static final class Span {

        /** The local monotonic time of the beginning. */
        private final long mBeginNanos;

        /** The local monotonic time of the end. */
        private volatile long mEndNanos = Long.MAX_VALUE;

        /**
         * Begins a disturbance.
         *
         * @param beginNanos the local monotonic time
         */
        private Span(long beginNanos) {
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
     * @return the disturbance, to be ended
     */
    synchronized Span begin() {
        Span span = new Span(System.nanoTime());
        mSpans.add(span);
        return span;
    }

    /**
     * Tells whether nothing was disturbed in a span of time and shortly before.
     *
     * @param fromNanos the begin of the span
     * @param toNanos the end of the span
     * @return true if it was calm
     */
    synchronized boolean calm(long fromNanos, long toNanos) {
        for (Span span : mSpans) {
            boolean over =
                    span.mEndNanos != Long.MAX_VALUE && span.mEndNanos + SETTLE_NANOS < fromNanos;
            if (!over && span.mBeginNanos <= toNanos) {
                return false;
            }
        }
        return true;
    }

    /**
     * Counts the disturbances that touch a span of time.
     *
     * @param fromNanos the begin of the span
     * @param toNanos the end of the span
     * @return the number
     */
    synchronized int count(long fromNanos, long toNanos) {
        int count = 0;
        for (Span span : mSpans) {
            boolean before = span.mEndNanos < fromNanos;
            count += !before && span.mBeginNanos <= toNanos ? 1 : 0;
        }
        return count;
    }
}
