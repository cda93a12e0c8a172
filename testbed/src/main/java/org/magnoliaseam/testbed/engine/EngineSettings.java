package org.magnoliaseam.testbed.engine;

/**
 * Holds the fixed properties of an engine.
 *
 * @param model the model that the engine serves
 * @param slots the number of requests that run at once
 * @param queueLimit the number of waiting requests from which the engine refuses more
 * @param coldLimit the number of requests that a cold engine can run at once
 * @param warmAfter the number of completed requests after which a cold engine is warm
 * @param coldFactor the factor on the first-token time of a cold engine
 * @param firstTokenMillis the milliseconds to the first token of an idle engine
 * @param tokenMillis the milliseconds between tokens of an idle engine
 * @param loadFactor the relative growth of both times on a full engine
 * @param restartMillis the milliseconds for which the engine is unavailable after a crash
 * @param crashExits whether a crash ends the process
 * @param prefixCacheSize the number of prompt prefixes that the cache holds
 */
public record EngineSettings(
        String model,
        int slots,
        int queueLimit,
        int coldLimit,
        int warmAfter,
        double coldFactor,
        double firstTokenMillis,
        double tokenMillis,
        double loadFactor,
        long restartMillis,
        boolean crashExits,
        int prefixCacheSize) {}
