package org.magnoliaseam.speed;

/**
 * Estimates the time that work takes at one start of a backend server, relative to the usual time.
 * Reports are used while they are fresh and agree with the measured times of responses; measured
 * times outweigh reports that they contradict. Not thread-safe.
 */
public final class ServerSpeed {

    /** The lowest factor that is accepted. */
    public static final double MIN_FACTOR = 0.1;

    /** The highest factor that is accepted. */
    public static final double MAX_FACTOR = 100;

    /** The estimate from reports. */
    private final ReportedFactor mReported = new ReportedFactor();

    /** The estimate from the times of responses. */
    private final FittedFactor mFitted = new FittedFactor();

    /**
     * Holds an estimated factor.
     *
     * @param factor the expected factor: 1 is the usual time, 2 is twice as long
     * @param spread the standard deviation of the factor around the expected one
     */
    public record Estimate(double factor, double spread) {

        /**
         * Returns the factor to compare servers by. It exceeds the expected one by half of the
         * spread on average, so that an old report of a fast server attracts no requests. Servers
         * of which little is known differ at random, so that entry VMs do not choose the same one.
         *
         * @param draw a random number from 0 to 1
         * @return the factor
         */
        public double cautious(double draw) {
            return factor + draw * spread;
        }
    }

    /**
     * Tells whether a factor is accepted.
     *
     * @param factor the factor
     * @return false if it is out of bounds or not a number
     */
    public static boolean accepts(double factor) {
        return factor >= MIN_FACTOR && factor <= MAX_FACTOR;
    }

    /**
     * Records a factor that the backend server reports; one that is not accepted is ignored.
     *
     * @param factor the factor: 1 is the usual time
     * @param nowNanos the local monotonic time
     */
    public void reported(double factor, long nowNanos) {
        if (accepts(factor)) {
            mReported.reported(factor, nowNanos);
        }
    }

    /**
     * Records the time of a response; one that is not a positive number is ignored.
     *
     * @param ratio the measured time over the time predicted at factor 1
     * @param nowNanos the local monotonic time
     */
    public void observed(double ratio, long nowNanos) {
        if (ratio > 0 && Double.isFinite(ratio)) {
            double bounded = Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, ratio));
            mFitted.observed(Math.log(bounded), Math.log(reportedFactor(nowNanos)), nowNanos);
        }
    }

    /**
     * Returns the factor that the reports alone suggest.
     *
     * @param nowNanos the local monotonic time
     * @return the expected factor
     */
    public double reportedFactor(long nowNanos) {
        return mReported.factor(mReported.correlation(nowNanos));
    }

    /**
     * Returns the weight of the reports against the measured times.
     *
     * @return the weight, from 0 to 1; 1 if there was no report that could be judged
     */
    public double reportWeight() {
        return mReported.isKnown() ? mFitted.reportWeight() : 1;
    }

    /**
     * Estimates the factor.
     *
     * @param nowNanos the local monotonic time
     * @return the estimate
     */
    public Estimate estimate(long nowNanos) {
        double correlation = mReported.correlation(nowNanos);
        double reported = mReported.factor(correlation);
        double fitted = Math.exp(mFitted.logFactor(nowNanos));
        double weight = mFitted.reportWeight();
        double difference = reported - fitted;
        double variance =
                weight * mReported.variance(correlation)
                        + (1 - weight) * fitted * fitted * mFitted.variance()
                        + weight * (1 - weight) * difference * difference;
        return new Estimate(weight * reported + (1 - weight) * fitted, Math.sqrt(variance));
    }
}
