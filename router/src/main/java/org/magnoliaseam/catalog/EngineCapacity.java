package org.magnoliaseam.catalog;

/**
 * States the limits of a model engine.
 *
 * @param slots the requests that run at once
 * @param memoryTokens the tokens that running requests and cached prompt parts share
 */
public record EngineCapacity(int slots, long memoryTokens) {}
