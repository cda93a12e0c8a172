package org.magnoliaseam.gateway;

import org.magnoliaseam.placement.PromptTimeModel;

/**
 * Holds the usual times of a service, which are fitted to the responses of all its backend servers.
 * Guarded by the lock of the server pool.
 */
final class ServiceTimes {

    /** The weight of a new response in the usual time of an answer. */
    private static final double ANSWER_GAIN = 0.05;

    /** The weight of a new response in the common error. */
    private static final double ERROR_GAIN = 0.05;

    /**
     * The bound of the error of a response, as a logarithm. It keeps a few backend servers with
     * false factors from shifting the common error.
     */
    private static final double MAX_ERROR = 0.2;

    /** Predicts the time that a prompt takes at factor 1. */
    private final PromptTimeModel mPromptTime;

    /** Whether a backend server of the service has reported a factor. */
    private boolean mHasFactors;

    /** The usual time of an answer of a plain service in milliseconds; 0 before the first. */
    private double mAnswerMillis;

    /** The mean logarithm of the measured over the predicted time: the error of the usual time. */
    private double mCommonError;

    /**
     * Creates times without responses.
     *
     * @param promptTime predicts the time that a prompt takes at factor 1
     */
    ServiceTimes(PromptTimeModel promptTime) {
        mPromptTime = promptTime;
    }

    /**
     * Returns the model that predicts the time that a prompt takes.
     *
     * @return the model, at factor 1
     */
    PromptTimeModel promptTime() {
        return mPromptTime;
    }

    /**
     * Tells whether a backend server of the service has reported a factor, which makes predicted
     * times differ between backend servers.
     *
     * @return true once one has
     */
    boolean hasFactors() {
        return mHasFactors;
    }

    /**
     * Records that a backend server has reported a factor.
     *
     * @return true the first time
     */
    boolean beginFactors() {
        boolean first = !mHasFactors;
        mHasFactors = true;
        return first;
    }

    /**
     * Returns the usual time of an answer of a plain service.
     *
     * @return the time in milliseconds at factor 1; 0 before the first answer
     */
    double answerMillis() {
        return mAnswerMillis;
    }

    /**
     * Records the time of an answer of a plain service.
     *
     * @param millis the time in milliseconds at factor 1, without the wait in a queue
     */
    void answered(double millis) {
        mAnswerMillis =
                mAnswerMillis > 0 ? mAnswerMillis + ANSWER_GAIN * (millis - mAnswerMillis) : millis;
    }

    /**
     * Learns the error that the usual time has at all backend servers alike and removes it, since
     * it says nothing about one of them.
     *
     * @param ratio the measured over the usual time
     * @param reported the factor that the backend server reported
     * @return the ratio without the common error
     */
    double withoutCommonError(double ratio, double reported) {
        double error = Math.log(ratio / reported) - mCommonError;
        mCommonError += ERROR_GAIN * Math.max(-MAX_ERROR, Math.min(MAX_ERROR, error));
        return ratio * Math.exp(-mCommonError);
    }
}
