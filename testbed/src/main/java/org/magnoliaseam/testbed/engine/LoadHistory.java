package org.magnoliaseam.testbed.engine;

import java.util.ArrayDeque;
import java.util.Deque;

/** Keeps past loads so that reports can lag. It is used by one thread. */
final class LoadHistory {

    /** The largest lag that the history covers. */
    private static final long MAX_LAG_MILLIS = 60_000;

    /** The past loads, the oldest first. */
    private final Deque<Sample> mSamples = new ArrayDeque<>();

    /** Removes all loads. */
    void clear() {
        mSamples.clear();
    }

    /**
     * Records the load.
     *
     * @param load the load
     * @param nowMillis the current time in milliseconds since the epoch
     */
    void record(EngineLoad load, long nowMillis) {
        mSamples.addLast(new Sample(nowMillis, load));
        while (mSamples.peekFirst().millis() < nowMillis - MAX_LAG_MILLIS) {
            mSamples.removeFirst();
        }
    }

    /**
     * Returns the load at a time.
     *
     * @param atMillis the time in milliseconds since the epoch
     * @return the last load recorded until that time, or else the first one
     */
    EngineLoad at(long atMillis) {
        Sample found = mSamples.peekFirst();
        for (Sample sample : mSamples) {
            if (sample.millis() > atMillis) {
                break;
            }
            found = sample;
        }
        return found.load();
    }

    /**
     * Holds the load at one time.
     *
     * @param millis the time in milliseconds since the epoch
     * @param load the load
     */
    private record Sample(long millis, EngineLoad load) {}
}
