package org.magnoliaseam.settings;

/**
 * Lists the policies for queuing requests and choosing backend servers. The last two are baselines
 * for comparison.
 */
public enum DispatchPolicy {
    /** Queues by tier and class, chooses servers by estimated load and preempts lower tiers. */
    TIERED("tiered"),
    /** Queues first in, first out and chooses servers in rotation. */
    ROUND_ROBIN_FIFO("round-robin-fifo"),
    /** Queues first in, first out and chooses the server with the least reported load. */
    LEAST_REPORTED_LOAD_FIFO("least-reported-load-fifo");

    /** The name in the settings. */
    private final String mText;

    /**
     * Creates a policy.
     *
     * @param text the name in the settings
     */
    DispatchPolicy(String text) {
        mText = text;
    }

    /**
     * Returns the name in the settings.
     *
     * @return the name
     */
    public String text() {
        return mText;
    }
}
