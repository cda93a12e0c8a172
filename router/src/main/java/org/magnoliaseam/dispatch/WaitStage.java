package org.magnoliaseam.dispatch;

/** Lists the stages of a wait, each of which allows or requires another action for the request. */
enum WaitStage {
    /** The request may be handed over to a peer that reports free slots. */
    EARLY_HAND_OVER,
    /** The request is about to miss its target; it may preempt a request of a lower tier. */
    PREEMPTION,
    /** The request misses its target even if it is started now. */
    MISSED,
    /** The refusal is near; the request may also be handed over to a peer that runs lower tiers. */
    LATE_HAND_OVER,
    /** The request has waited as long as its class allows. */
    EXPIRY;

    /**
     * Returns the stage that follows.
     *
     * @return the next stage; for the last stage, the stage itself
     */
    WaitStage next() {
        return this == EXPIRY ? EXPIRY : values()[ordinal() + 1];
    }
}
