package org.magnoliaseam.permit;

/** The outcome of asking for a permit. */
public sealed interface PermitOutcome {

    /**
     * The prompt may be sent.
     *
     * @param waitingTokens the prompt tokens that wait at the engine before it
     */
    record Granted(long waitingTokens) implements PermitOutcome {}

    /**
     * Too many prompts wait at the engine.
     *
     * @param waitingTokens the prompt tokens that wait there
     */
    record Busy(long waitingTokens) implements PermitOutcome {}

    /** The home did not answer in time; the sender's own estimate decides. */
    record Unknown() implements PermitOutcome {}
}
