package org.magnoliaseam.catalog;

/**
 * Holds the capacity of a model engine.
 *
 * @param slots the largest number of requests that run at once
 * @param memoryTokens the memory in tokens that running requests and cached prompt parts share
 */
public record EngineCapacity(int slots, long memoryTokens) {}
