package org.magnoliaseam.permit;

import org.magnoliaseam.model.BackendServerId;

/** A message about permits between two entry VMs. */
public sealed interface PermitMessage {

    /**
     * Returns the number of the permit, which its sender chose.
     *
     * @return the number
     */
    long id();

    /**
     * Asks the home of an engine for a permit.
     *
     * @param id the number of the permit
     * @param server the engine
     * @param priority the priority of the request; 0 is the highest
     * @param tokens the prompt tokens that the engine will have to process
     * @param limitTokens the prompt tokens that may wait there before them
     * @param sharedLimitTokens the same if more urgent requests use the engine as well
     * @param guarded whether the request must not be at the engine together with another guarded
     *     one
     */
    record Ask(
            long id,
            BackendServerId server,
            int priority,
            long tokens,
            long limitTokens,
            long sharedLimitTokens,
            boolean guarded)
            implements PermitMessage {}

    /**
     * Answers an {@link Ask}.
     *
     * @param id the number of the permit
     * @param granted whether the prompt may be sent
     * @param waitingTokens the prompt tokens that wait at the engine, without those of the permit
     */
    record Reply(long id, boolean granted, long waitingTokens) implements PermitMessage {}

    /**
     * Tells the home that the engine has processed the prompt, or that its request no longer waits
     * for the engine.
     *
     * @param id the number of the permit
     * @param server the engine
     */
    record Done(long id, BackendServerId server) implements PermitMessage {}
}
