package org.magnoliaseam.testbed.engine;

import java.util.ArrayList;
import java.util.List;

/** Records every accepted request. It is used by one thread. */
final class EngineStarts {

    /** The most starts that are kept. */
    private static final int MAX_STARTS = 500_000;

    /** The starts in order. */
    private final List<Start> mStarts = new ArrayList<>();

    /** The number of all starts, including those not kept. */
    private long mCount;

    /**
     * Records an accepted request.
     *
     * @param start the start
     */
    void record(Start start) {
        mCount++;
        if (mStarts.size() < MAX_STARTS) {
            mStarts.add(start);
        }
    }

    /**
     * Returns the number of accepted requests.
     *
     * @return the number
     */
    long count() {
        return mCount;
    }

    /**
     * Returns the starts from a time on.
     *
     * @param sinceMillis the time in milliseconds since the epoch
     * @return the starts in order
     */
    List<Start> since(long sinceMillis) {
        return mStarts.stream().filter(start -> start.epochMillis() >= sinceMillis).toList();
    }

    /**
     * Describes one accepted request.
     *
     * @param id the request
     * @param epochMillis the time of acceptance in milliseconds since the epoch
     * @param offset the tokens that the caller already had
     * @param priority the priority; 1 is the highest
     */
    public record Start(String id, long epochMillis, int offset, int priority) {}
}
