package org.magnoliaseam.placement;

/**
 * Predicts the time from the start of a request at an idle engine to its first event: a base for
 * the first steps, and a time for each prompt token. Both are fitted to measured times by least
 * squares with exponential forgetting. Not thread-safe.
 */
public final class PromptTimeModel {

    /** The assumed base before the first measurement, in milliseconds. */
    private static final double INITIAL_BASE_MILLIS = 50;

    /** The assumed prompt tokens that an engine processes per millisecond, likewise. */
    private static final double INITIAL_TOKENS_PER_MILLI = 40;

    /** The prompts of the assumed measurements, in tokens. */
    private static final double[] INITIAL_TOKENS = {500, 8000};

    /** The factor by which the weight of earlier measurements shrinks with each new one. */
    private static final double FORGETTING = 0.98;

    /** The lower bound of the processing speed in tokens per millisecond. */
    private static final double MIN_TOKENS_PER_MILLI = 5;

    /** The upper bound of the processing speed in tokens per millisecond. */
    private static final double MAX_TOKENS_PER_MILLI = 500;

    /** The sum of the weights. */
    private double mWeight;

    /** The weighted sum of the tokens. */
    private double mTokens;

    /** The weighted sum of the times. */
    private double mMillis;

    /** The weighted sum of the squared tokens. */
    private double mTokensSquared;

    /** The weighted sum of the products of tokens and times. */
    private double mProducts;

    /** The fitted speed in tokens per millisecond. */
    private double mTokensPerMilli = INITIAL_TOKENS_PER_MILLI;

    /** The fitted base in milliseconds. */
    private double mBaseMillis = INITIAL_BASE_MILLIS;

    /** Creates a model from assumed measurements. */
    public PromptTimeModel() {
        for (double tokens : INITIAL_TOKENS) {
            add(tokens, INITIAL_BASE_MILLIS + tokens / INITIAL_TOKENS_PER_MILLI);
        }
    }

    /**
     * Records a measured time.
     *
     * @param tokens the prompt tokens that the engine processed while nothing else waited
     * @param millis the time from the start to the first event in milliseconds
     */
    public void measured(long tokens, double millis) {
        add(tokens, millis);
        double spread = mWeight * mTokensSquared - mTokens * mTokens;
        double slope = spread > 0 ? (mWeight * mProducts - mTokens * mMillis) / spread : 0;
        double bounded =
                Math.max(1 / MAX_TOKENS_PER_MILLI, Math.min(1 / MIN_TOKENS_PER_MILLI, slope));
        mTokensPerMilli = 1 / bounded;
        mBaseMillis = Math.max(0, (mMillis - bounded * mTokens) / mWeight);
    }

    /**
     * Returns the processing speed.
     *
     * @return the prompt tokens per millisecond
     */
    public double tokensPerMilli() {
        return mTokensPerMilli;
    }

    /**
     * Returns the time to the first event beyond the processing of the prompt.
     *
     * @return the time in milliseconds
     */
    public double baseMillis() {
        return mBaseMillis;
    }

    /**
     * Adds a measurement to the sums.
     *
     * @param tokens the prompt tokens
     * @param millis the time in milliseconds
     */
    private void add(double tokens, double millis) {
        mWeight = mWeight * FORGETTING + 1;
        mTokens = mTokens * FORGETTING + tokens;
        mMillis = mMillis * FORGETTING + millis;
        mTokensSquared = mTokensSquared * FORGETTING + tokens * tokens;
        mProducts = mProducts * FORGETTING + tokens * millis;
    }
}
