package org.magnoliaseam.speed;

/**
 * Estimates the factor of a backend server from its reports. A report loses weight with its age, as
 * fast as successive reports show the factor to change. Not thread-safe.
 */
final class ReportedFactor {

    /** The mean factor before the first report: the usual time. */
    private static final double ASSUMED_MEAN = 1;

    /** The standard deviation of the factor before the first report. */
    private static final double ASSUMED_SPREAD = 0.4;

    /** The number of independent reports that the assumed mean and spread are worth. */
    private static final double ASSUMED_WEIGHT = 20;

    /** The number of independent reports after which earlier ones are forgotten. */
    private static final double MAX_WEIGHT = 100;

    /** The lower bound of the variance; reports are whole percents. */
    private static final double MIN_VARIANCE = 1e-4;

    /** The changes per second before reports show any: several times a second. */
    private static final double ASSUMED_RATE = 3;

    /** The lower bound of the changes per second; a report counts for a minute at most. */
    private static final double MIN_RATE = 1 / 60.0;

    /** The upper bound of the changes per second; faster ones cannot be told apart. */
    private static final double MAX_RATE = 50;

    /** The information on the rate that {@link #ASSUMED_RATE} is worth. */
    private static final double ASSUMED_INFORMATION = 1;

    /** The information on the rate after which earlier reports are forgotten. */
    private static final double MAX_INFORMATION = 30;

    /** The upper bound of a squared difference of two reports, relative to its expectation. */
    private static final double MAX_DIFFERENCE = 4;

    /** The variance of a squared difference, relative to the probability of a change. */
    private static final double DIFFERENCE_VARIANCE = 3;

    /** The longest step of the logarithm of the rate. */
    private static final double MAX_STEP = 1;

    /** The number of nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** Whether there was a report. */
    private boolean mKnown;

    /** The last report. */
    private double mFactor;

    /** The local monotonic time of the last report. */
    private long mNanos;

    /** The mean of the reports. */
    private double mMean = ASSUMED_MEAN;

    /** The variance of the reports. */
    private double mVariance = ASSUMED_SPREAD * ASSUMED_SPREAD;

    /** The number of independent reports in the mean and the variance. */
    private double mWeight = ASSUMED_WEIGHT;

    /** The changes per second. */
    private double mRate = ASSUMED_RATE;

    /** The information on the rate. */
    private double mInformation = ASSUMED_INFORMATION;

    /**
     * Records a report.
     *
     * @param factor the factor, above 0
     * @param nowNanos the local monotonic time
     */
    void reported(double factor, long nowNanos) {
        if (mKnown) {
            double seconds = Math.max(0, nowNanos - mNanos) / NANOS_PER_SECOND;
            learnRate(factor - mFactor, seconds);
            // Reports that follow each other faster than the factor changes are one sample.
            add(factor, 1 - Math.exp(-mRate * seconds));
        } else {
            mKnown = true;
            add(factor, 1);
        }
        mFactor = factor;
        mNanos = nowNanos;
    }

    /**
     * Tells whether there was a report.
     *
     * @return true after the first one
     */
    boolean isKnown() {
        return mKnown;
    }

    /**
     * Returns the autocorrelation of the factor over the age of the last report.
     *
     * @param nowNanos the local monotonic time
     * @return the weight of the last report, from 0 to 1; 0 if there was none
     */
    double correlation(long nowNanos) {
        double seconds = Math.max(0, nowNanos - mNanos) / NANOS_PER_SECOND;
        return mKnown ? Math.exp(-mRate * seconds) : 0;
    }

    /**
     * Returns the expected factor.
     *
     * @param correlation what {@link #correlation} returned
     * @return the factor
     */
    double factor(double correlation) {
        return mMean + correlation * (mFactor - mMean);
    }

    /**
     * Returns the variance of the factor around the expected one.
     *
     * @param correlation what {@link #correlation} returned
     * @return the variance
     */
    double variance(double correlation) {
        return (1 - correlation * correlation) * mVariance;
    }

    /**
     * Fits the rate so that the expected squared difference of two reports, which is proportional
     * to {@code 1 - exp(-rate * seconds)}, matches the observed one: recursive least squares on the
     * logarithm of the rate.
     *
     * @param difference the difference of two successive reports
     * @param seconds the time between them
     */
    private void learnRate(double difference, double seconds) {
        double unchanged = Math.exp(-mRate * seconds);
        double changed = 1 - unchanged;
        double gradient = mRate * seconds * unchanged;
        if (changed <= 0 || gradient <= 0) {
            return;
        }
        double observed = Math.min(MAX_DIFFERENCE, difference * difference / (2 * mVariance));
        double weight = gradient / (DIFFERENCE_VARIANCE * changed);
        mInformation = Math.min(MAX_INFORMATION, mInformation + gradient * weight);
        double step = weight * (observed - changed) / mInformation;
        double bounded = Math.max(-MAX_STEP, Math.min(MAX_STEP, step));
        mRate = Math.max(MIN_RATE, Math.min(MAX_RATE, mRate * Math.exp(bounded)));
    }

    /**
     * Adds a report to the mean and the variance.
     *
     * @param factor the factor
     * @param weight the number of independent reports that it is worth
     */
    private void add(double factor, double weight) {
        mWeight = Math.min(MAX_WEIGHT, mWeight + weight);
        double share = weight / mWeight;
        double difference = factor - mMean;
        mMean += share * difference;
        double variance = (1 - share) * (mVariance + share * difference * difference);
        mVariance = Math.max(MIN_VARIANCE, variance);
    }
}
