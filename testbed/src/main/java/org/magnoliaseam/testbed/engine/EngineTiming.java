package org.magnoliaseam.testbed.engine;

import java.util.SplittableRandom;

/** Computes the time that each token takes. It is used by one thread. */
final class EngineTiming {

    /** The factor on the first-token time if the prompt prefix is cached. */
    private static final double CACHED_FACTOR = 0.5;

    /** The largest random deviation of a time, as a fraction. */
    private static final double VARIATION = 0.1;

    /** The fixed properties. */
    private final EngineSettings mSettings;

    /** The cached prompt prefixes. */
    private final PrefixCache mPrefixes;

    /** The source of the variation of times. */
    private final SplittableRandom mRandom;

    /** The factor on all times. */
    private double mSlowFactor = 1;

    /**
     * Creates a timing with an empty prompt cache.
     *
     * @param settings the fixed properties
     * @param seed the seed of the variation of times
     */
    EngineTiming(EngineSettings settings, long seed) {
        mSettings = settings;
        mPrefixes = new PrefixCache(settings.prefixCacheSize());
        mRandom = new SplittableRandom(seed);
    }

    /**
     * Changes the factor on all times.
     *
     * @param factor the factor
     */
    void slowDown(double factor) {
        mSlowFactor = factor;
    }

    /** Clears the prompt cache. */
    void clearPrefixes() {
        mPrefixes.clear();
    }

    /**
     * Returns the time to the first token of a request.
     *
     * @param request the request
     * @param running the requests that are running
     * @param cold whether the engine is cold
     * @return the time in milliseconds
     */
    double firstTokenMillis(EngineRequest request, int running, boolean cold) {
        boolean cached = mPrefixes.use(request.prompt());
        if (request.offset() > 0) {
            return tokenMillis(running);
        }
        double millis = mSettings.firstTokenMillis() * (cached ? CACHED_FACTOR : 1);
        return scale(millis * (cold ? mSettings.coldFactor() : 1), running);
    }

    /**
     * Returns the time between two tokens.
     *
     * @param running the requests that are running
     * @return the time in milliseconds
     */
    double tokenMillis(int running) {
        return scale(mSettings.tokenMillis(), running);
    }

    /**
     * Scales a time by load, slowdown and variation.
     *
     * @param millis the time on an idle engine in milliseconds
     * @param running the requests that are running
     * @return the time in milliseconds
     */
    private double scale(double millis, int running) {
        double load = 1 + mSettings.loadFactor() * running / mSettings.slots();
        double variation = 1 + VARIATION * (2 * mRandom.nextDouble() - 1);
        return millis * load * mSlowFactor * variation;
    }
}
