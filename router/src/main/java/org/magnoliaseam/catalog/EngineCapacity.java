package org.magnoliaseam.catalog;

import java.util.Optional;

/**
 * Holds the capacity of a model engine.
 *
 * @param slots the largest number of requests that run at once
 * @param memoryTokens the memory in tokens that running requests and cached prompt parts share
 * @param transfer the cost of transfers of cached prompt parts; empty if the engine offers none
 */
public record EngineCapacity(int slots, long memoryTokens, Optional<CacheTransfer> transfer) {

    /**
     * Creates the capacity of an engine that offers no transfers.
     *
     * @param slots the largest number of requests that run at once
     * @param memoryTokens the memory in tokens
     */
    public EngineCapacity(int slots, long memoryTokens) {
        this(slots, memoryTokens, Optional.empty());
    }
}
