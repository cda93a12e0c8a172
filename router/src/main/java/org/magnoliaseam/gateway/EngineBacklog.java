package org.magnoliaseam.gateway;

/**
 * Holds what the home of an engine answered to the last question for a permit. Guarded by the lock
 * of the server pool.
 */
final class EngineBacklog {

    /** The time for which a counted backlog replaces the reports of peers, in nanoseconds. */
    private static final long VALID_NANOS = 500_000_000L;

    /** The time after a refused permit until the home is asked again, in nanoseconds. */
    private static final long REFUSED_NANOS = 20_000_000L;

    /**
     * The time after a permit was refused because of the slots or of more urgent requests, in
     * nanoseconds. Slots are freed at the end of a stream and not with each prompt; a claim at the
     * home outlasts this time.
     */
    private static final long OCCUPIED_NANOS = 40_000_000L;

    /** The number of nanoseconds in a millisecond. */
    private static final double NANOS_PER_MILLI = 1e6;

    /** The prompt tokens that waited at the engine. */
    private long mTokens;

    /** The local monotonic time of the answer. */
    private long mNanos;

    /** The local monotonic time up to which the home is not asked again after a refusal. */
    private long mRefusedUntilNanos;

    /**
     * Creates a backlog without answers.
     *
     * @param nowNanos the local monotonic time
     */
    EngineBacklog(long nowNanos) {
        mNanos = nowNanos - VALID_NANOS;
        mRefusedUntilNanos = nowNanos;
    }

    /**
     * Records an answer that granted a permit.
     *
     * @param tokens the prompt tokens that wait at the engine, with those of the permit
     * @param nowNanos the local monotonic time
     */
    void granted(long tokens, long nowNanos) {
        mTokens = tokens;
        mNanos = nowNanos;
    }

    /**
     * Records an answer that refused a permit.
     *
     * @param tokens the prompt tokens that wait at the engine
     * @param occupied whether slots or more urgent requests were the reason
     * @param nowNanos the local monotonic time
     */
    void refused(long tokens, boolean occupied, long nowNanos) {
        granted(tokens, nowNanos);
        mRefusedUntilNanos = nowNanos + (occupied ? OCCUPIED_NANOS : REFUSED_NANOS);
    }

    /**
     * Tells whether a permit has been refused just now.
     *
     * @param nowNanos the local monotonic time
     * @return true if the home is not asked again yet
     */
    boolean isRefused(long nowNanos) {
        return nowNanos - mRefusedUntilNanos < 0;
    }

    /**
     * Tells whether the last answer is recent.
     *
     * @param nowNanos the local monotonic time
     * @return true if it is
     */
    boolean isValid(long nowNanos) {
        return nowNanos - mNanos < VALID_NANOS;
    }

    /**
     * Estimates the prompt tokens that still wait.
     *
     * @param tokensPerMilli the processing speed of the engine
     * @param nowNanos the local monotonic time
     * @return the tokens of the last answer less what has been processed since; 0 if it is too old
     */
    long tokens(double tokensPerMilli, long nowNanos) {
        if (!isValid(nowNanos)) {
            return 0;
        }
        double processed = (nowNanos - mNanos) / NANOS_PER_MILLI * tokensPerMilli;
        return Math.max(0, mTokens - (long) processed);
    }
}
