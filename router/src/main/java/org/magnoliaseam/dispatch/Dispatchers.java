package org.magnoliaseam.dispatch;

import org.magnoliaseam.settings.DispatchPolicy;

/** Creates dispatchers by policy. */
public final class Dispatchers {

    /** Prevents instances of this utility class. */
    private Dispatchers() {}

    /**
     * Creates a dispatcher.
     *
     * @param policy the policy
     * @param seed the seed of random choices
     * @return a dispatcher without servers
     */
    public static Dispatcher create(DispatchPolicy policy, long seed) {
        return switch (policy) {
            case TIERED -> new TieredDispatcher(seed);
            case ROUND_ROBIN_FIFO -> new FifoDispatcher(FifoPlacement.ROUND_ROBIN);
            case LEAST_REPORTED_LOAD_FIFO -> new FifoDispatcher(FifoPlacement.LEAST_REPORTED_LOAD);
        };
    }
}
