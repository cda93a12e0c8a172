package org.magnoliaseam.permit;

import java.util.List;
import org.magnoliaseam.model.BackendServerId;

/** A message about permits between two entry VMs. */
public sealed interface PermitMessage {

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
     * @param slots the slots of the engine if the home has to count them; 0 otherwise
     */
    record Ask(
            long id,
            BackendServerId server,
            int priority,
            long tokens,
            long limitTokens,
            long sharedLimitTokens,
            boolean guarded,
            int slots)
            implements PermitMessage {

        /**
         * Asks for a permit that counts for no slot.
         *
         * @param id the number of the permit
         * @param server the engine
         * @param priority the priority of the request; 0 is the highest
         * @param tokens the prompt tokens that the engine will have to process
         * @param limitTokens the prompt tokens that may wait there before them
         * @param sharedLimitTokens the same if more urgent requests use the engine as well
         * @param guarded whether the request must not be at the engine together with another
         *     guarded one
         */
        public Ask(
                long id,
                BackendServerId server,
                int priority,
                long tokens,
                long limitTokens,
                long sharedLimitTokens,
                boolean guarded) {
            this(id, server, priority, tokens, limitTokens, sharedLimitTokens, guarded, 0);
        }

        /**
         * Returns the same question with other slots.
         *
         * @param counted the slots of the engine; 0 if the home does not count them
         * @return the question
         */
        Ask withSlots(int counted) {
            return counted == slots
                    ? this
                    : new Ask(
                            id,
                            server,
                            priority,
                            tokens,
                            limitTokens,
                            sharedLimitTokens,
                            guarded,
                            counted);
        }
    }

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

    /**
     * Tells the home that a request for which it counted a slot has ended.
     *
     * @param id the number of the permit
     * @param server the engine
     */
    record Release(long id, BackendServerId server) implements PermitMessage {}

    /**
     * Tells a home of permits that count for a slot and have not ended. A home that does not know
     * one counts it from then on.
     *
     * @param entries the permits
     */
    record Renewal(List<Entry> entries) implements PermitMessage {

        /**
         * Describes a permit.
         *
         * @param id its number
         * @param server the engine
         * @param priority the priority of its request
         * @param processed whether the engine has processed the prompt
         */
        public record Entry(long id, BackendServerId server, int priority, boolean processed) {}
    }
}
