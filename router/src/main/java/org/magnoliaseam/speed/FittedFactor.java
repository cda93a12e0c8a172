package org.magnoliaseam.speed;

/**
 * Fits the factor of a backend server to the times of its responses and judges its reports by them.
 * The reports and the fit each predict the next observation; the weight of each decreases with its
 * squared error. All values are logarithms, since half and twice the time are equally far from the
 * usual one. Not thread-safe.
 */
final class FittedFactor {

    /** The factor by which the weight of earlier observations shrinks with each new one. */
    private static final double FORGETTING = 0.8;

    /** The time constant with which observations lose their weight, in nanoseconds. */
    private static final double DECAY_NANOS = 30e9;

    /** The number of observations that the assumption of the usual time is worth. */
    private static final double ASSUMED_WEIGHT = 0.5;

    /**
     * The weight of the first observation in the mean squared errors. At many entry VMs each has
     * few observations, so that the first ones have to reveal a false factor.
     */
    private static final double FIRST_GAIN = 0.4;

    /** The weight of an observation in the mean squared errors after many others. */
    private static final double MIN_GAIN = 0.2;

    /** The squared error of reports before the first observation: 10 percent. */
    private static final double ASSUMED_REPORT_ERROR = 0.01;

    /** The squared error of the fit before the first observation: 40 percent. */
    private static final double ASSUMED_FIT_ERROR = 0.16;

    /** The lower bound of the squared errors: 10 percent. */
    private static final double MIN_ERROR = 0.01;

    /** The upper bound of a squared error, so that one outlier does not decide. */
    private static final double MAX_ERROR = 1;

    /** The decayed sum of the observations. */
    private double mSum;

    /** The decayed number of the observations. */
    private double mWeight;

    /** The local monotonic time of the last observation. */
    private long mNanos;

    /** The mean squared error of the reports. */
    private double mReportError = ASSUMED_REPORT_ERROR;

    /** The mean squared error of the fit. */
    private double mFitError = ASSUMED_FIT_ERROR;

    /** The weight of the next observation in the mean squared errors. */
    private double mGain = FIRST_GAIN;

    /**
     * Records an observation.
     *
     * @param ratio the logarithm of the measured over the predicted time
     * @param reported the logarithm of the factor that the reports predicted
     * @param nowNanos the local monotonic time
     */
    void observed(double ratio, double reported, long nowNanos) {
        mReportError = meanError(mReportError, ratio - reported);
        mFitError = meanError(mFitError, ratio - logFactor(nowNanos));
        mGain = Math.max(MIN_GAIN, mGain / (1 + mGain));
        double kept = FORGETTING * decay(nowNanos);
        mSum = kept * mSum + ratio;
        mWeight = kept * mWeight + 1;
        mNanos = nowNanos;
    }

    /**
     * Returns the fitted factor.
     *
     * @param nowNanos the local monotonic time
     * @return its logarithm; 0, the usual time, without recent observations
     */
    double logFactor(long nowNanos) {
        double decay = decay(nowNanos);
        return decay * mSum / (decay * mWeight + ASSUMED_WEIGHT);
    }

    /**
     * Returns the variance of observations around the fitted factor.
     *
     * @return the variance of the logarithm
     */
    double variance() {
        return mFitError;
    }

    /**
     * Returns the weight of the reports against the fit.
     *
     * @return the weight, from 0 to 1
     */
    double reportWeight() {
        double report = mReportError * mReportError;
        double fit = mFitError * mFitError;
        return fit / (fit + report);
    }

    /**
     * Returns the weight that earlier observations have kept.
     *
     * @param nowNanos the local monotonic time
     * @return the weight, from 0 to 1
     */
    private double decay(long nowNanos) {
        return Math.exp(-Math.max(0, nowNanos - mNanos) / DECAY_NANOS);
    }

    /**
     * Updates a mean squared error.
     *
     * @param mean the mean so far
     * @param error the new error
     * @return the mean with the new error
     */
    private double meanError(double mean, double error) {
        double squared = Math.min(MAX_ERROR, error * error);
        return Math.max(MIN_ERROR, mean + mGain * (squared - mean));
    }
}
