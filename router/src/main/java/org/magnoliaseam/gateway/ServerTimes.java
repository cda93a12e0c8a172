package org.magnoliaseam.gateway;

import org.magnoliaseam.membership.StableHash;
import org.magnoliaseam.speed.ServerSpeed;

/**
 * Predicts the times of work at one start of a backend server: the usual times of the service,
 * multiplied by the factor of the backend server once any of the service reports one. Guarded by
 * the lock of the server pool.
 */
final class ServerTimes {

    /** The weight of reports below which responses contradict them. */
    private static final double CONTRADICTED_WEIGHT = 0.05;

    /** The weight of reports above which responses agree with them again. */
    private static final double AGREED_WEIGHT = 0.5;

    /** The shortest time between two changes of the judgement, in nanoseconds. */
    private static final long JUDGEMENT_NANOS = 60_000_000_000L;

    /** The number of percents in a factor of 1. */
    private static final double PERCENT = 100;

    /** The usual times of the service. */
    private final ServiceTimes mService;

    /** The hash of the id of the backend server. */
    private final long mHash;

    /** Estimates the factor. */
    private final ServerSpeed mSpeed = new ServerSpeed();

    /** The factor that predicted times use; not a number if it is to be computed again. */
    private double mFactor = Double.NaN;

    /** The local monotonic time for which {@link #mFactor} was computed. */
    private long mFactorNanos;

    /** Whether responses contradict the reports. */
    private boolean mContradicted;

    /** The local monotonic time of the last change of {@link #mContradicted}. */
    private long mJudgedNanos;

    /**
     * Creates times of a backend server of which nothing is known.
     *
     * @param service the usual times of the service
     * @param hash the hash of the id of the backend server
     * @param nowNanos the local monotonic time
     */
    ServerTimes(ServiceTimes service, long hash, long nowNanos) {
        mHash = hash;
        mService = service;
        mJudgedNanos = nowNanos - JUDGEMENT_NANOS;
    }

    /**
     * Tells whether predicted times use factors.
     *
     * @return true if a backend server of the service has reported one
     */
    boolean hasFactors() {
        return mService.hasFactors();
    }

    /**
     * Records a factor that the backend server reports.
     *
     * @param factor the factor
     * @param nowNanos the local monotonic time
     * @return true if it is the first of the service
     */
    boolean reported(double factor, long nowNanos) {
        mSpeed.reported(factor, nowNanos);
        mFactor = Double.NaN;
        return mService.beginFactors();
    }

    /**
     * Records the time from the start to the first event of a prompt.
     *
     * @param tokens the prompt tokens that the engine processed while nothing else waited
     * @param millis the time in milliseconds
     * @param nowNanos the local monotonic time
     */
    void promptMeasured(long tokens, double millis, long nowNanos) {
        double usual =
                mService.promptTime().baseMillis()
                        + tokens / mService.promptTime().tokensPerMilli();
        double factor = learn(millis, usual, nowNanos);
        mService.promptTime().measured(tokens, millis / factor);
    }

    /**
     * Records the time of an answer of a plain service.
     *
     * @param millis the time in milliseconds
     * @param queue the time in the queue and in a slot, as a multiple of the time in a slot
     * @param nowNanos the local monotonic time
     */
    void answerMeasured(double millis, double queue, long nowNanos) {
        double factor = learn(millis / queue, mService.answerMillis(), nowNanos);
        mService.answered(millis / queue / factor);
    }

    /**
     * Learns the factor from a measured time.
     *
     * @param millis the measured time in milliseconds
     * @param usualMillis the usual time in milliseconds; 0 if it is unknown
     * @param nowNanos the local monotonic time
     * @return the estimated factor of the measured time
     */
    private double learn(double millis, double usualMillis, long nowNanos) {
        if (!mService.hasFactors() || usualMillis <= 0 || millis <= 0) {
            return 1;
        }
        double reported = mSpeed.reportedFactor(nowNanos);
        double ratio = mService.withoutCommonError(millis / usualMillis, reported);
        mSpeed.observed(ratio, nowNanos);
        mFactor = Double.NaN;
        return mSpeed.estimate(nowNanos).factor();
    }

    /**
     * Returns the factor that predicted times use.
     *
     * @param nowNanos the local monotonic time
     * @return the cautious factor; 1 if no backend server of the service has reported one
     */
    double factor(long nowNanos) {
        if (!mService.hasFactors()) {
            return 1;
        }
        if (Double.isNaN(mFactor) || mFactorNanos != nowNanos) {
            mFactor = mSpeed.estimate(nowNanos).cautious(draw(nowNanos));
            mFactorNanos = nowNanos;
        }
        return mFactor;
    }

    /**
     * Draws a number for a backend server and a moment, which differs between entry VMs.
     *
     * @param nowNanos the local monotonic time
     * @return a number from 0 to 1
     */
    private double draw(long nowNanos) {
        return (StableHash.mix(mHash ^ nowNanos) >>> 1) / (double) Long.MAX_VALUE;
    }

    /**
     * Predicts the time to the first event beyond the processing of the prompt.
     *
     * @param nowNanos the local monotonic time
     * @return the time in milliseconds
     */
    double baseMillis(long nowNanos) {
        return factor(nowNanos) * mService.promptTime().baseMillis();
    }

    /**
     * Predicts the processing speed.
     *
     * @param nowNanos the local monotonic time
     * @return the prompt tokens per millisecond
     */
    double tokensPerMilli(long nowNanos) {
        return mService.promptTime().tokensPerMilli() / factor(nowNanos);
    }

    /**
     * Returns the prompt tokens that the backend server processes in a time.
     *
     * @param millis the time in milliseconds
     * @param nowNanos the local monotonic time
     * @return the number of tokens
     */
    long tokensWithin(double millis, long nowNanos) {
        return (long) (millis * tokensPerMilli(nowNanos));
    }

    /**
     * Predicts the time that the backend server needs to process prompt tokens.
     *
     * @param tokens the number of tokens
     * @param nowNanos the local monotonic time
     * @return the time in milliseconds
     */
    double processingMillis(long tokens, long nowNanos) {
        return tokens / tokensPerMilli(nowNanos);
    }

    /**
     * Predicts how much later than usual the first event of a prompt comes, beyond its processing.
     *
     * @param nowNanos the local monotonic time
     * @return the time in milliseconds; negative if the backend server is fast
     */
    double extraBaseMillis(long nowNanos) {
        return (factor(nowNanos) - 1) * mService.promptTime().baseMillis();
    }

    /**
     * Predicts the time of an answer of a plain service.
     *
     * @param assumedMillis the time to assume before the first answer, in milliseconds
     * @param occupancy the requests that run and wait there, per slot. Those that run count too,
     *     since reports are old by the time a request arrives.
     * @param nowNanos the local monotonic time
     * @return the time in milliseconds
     */
    double answerMillis(double assumedMillis, double occupancy, long nowNanos) {
        double usual = mService.answerMillis() > 0 ? mService.answerMillis() : assumedMillis;
        return usual * factor(nowNanos) * (1 + occupancy);
    }

    /**
     * Describes the factor.
     *
     * @param nowNanos the local monotonic time
     * @return a short text for the log; empty if predicted times use no factors
     */
    String describe(long nowNanos) {
        return hasFactors() ? " factor=" + Math.round(factor(nowNanos) * PERCENT) / PERCENT : "";
    }

    /**
     * Tells whether responses contradict the reports.
     *
     * @return true if they did at the last change of the judgement
     */
    boolean contradicted() {
        return mContradicted;
    }

    /**
     * Judges the reports by the responses.
     *
     * @param nowNanos the local monotonic time
     * @return true if the judgement has changed; at most once a minute
     */
    boolean takeJudgement(long nowNanos) {
        double weight = mSpeed.reportWeight();
        boolean contradicted =
                mContradicted ? weight < AGREED_WEIGHT : weight < CONTRADICTED_WEIGHT;
        if (contradicted == mContradicted || nowNanos - mJudgedNanos < JUDGEMENT_NANOS) {
            return false;
        }
        mContradicted = contradicted;
        mJudgedNanos = nowNanos;
        return true;
    }
}
