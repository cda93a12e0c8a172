package org.magnoliaseam.dispatch;

import java.util.List;
import org.magnoliaseam.model.Tier;

/**
 * Cancels running requests of lower tiers for requests that would miss their target. The victim is
 * the request of the lowest tier that was started last, as it loses the least progress.
 */
final class PreemptionRule {

    /** The waiting requests. */
    private final RequestQueues mQueues;

    /** The servers. */
    private final ServerTable mServers;

    /**
     * Creates the rule.
     *
     * @param queues the waiting requests
     * @param servers the servers
     */
    PreemptionRule(RequestQueues queues, ServerTable servers) {
        mQueues = queues;
        mServers = servers;
    }

    /**
     * Chooses a victim for every request at risk, if there is one.
     *
     * @param decisions takes the decisions
     */
    void apply(List<Decision> decisions) {
        for (int rank = 1; rank < Tier.LOWEST_RANK; rank++) {
            if (mQueues.size(rank) == 0 || mServers.pressuredAbove(rank)) {
                continue;
            }
            for (ClassQueue queue : mQueues.queues(rank)) {
                preemptFor(queue, decisions);
            }
        }
    }

    /**
     * Chooses victims for the requests at risk in one queue.
     *
     * @param queue the queue
     * @param decisions takes the decisions
     */
    private void preemptFor(ClassQueue queue, List<Decision> decisions) {
        WaitingRequest waiting = queue.atRisk().peekFirst();
        while (waiting != null && !queue.open()) {
            RunningRequest victim = victim(queue);
            if (victim == null) {
                return;
            }
            queue.atRisk().pollFirst();
            waiting.victimOutstanding(true);
            victim.beneficiary(waiting);
            victim.server().removePreemptible(victim);
            decisions.add(
                    new Decision.Preempt(
                            victim.id(),
                            victim.server().id(),
                            waiting.id(),
                            waiting.tier() + " would miss its target; victim of " + victim.tier()));
            waiting = queue.atRisk().peekFirst();
        }
    }

    /**
     * Finds the request to cancel.
     *
     * @param queue the queue of the request at risk
     * @return the victim, or null if there is none
     */
    private static RunningRequest victim(ClassQueue queue) {
        for (int rank = Tier.LOWEST_RANK; rank > queue.tier().rank(); rank--) {
            RunningRequest victim =
                    queue.candidates().preemptible(rank) == 0 ? null : victim(queue, rank);
            if (victim != null) {
                return victim;
            }
        }
        return null;
    }

    /**
     * Finds the preemptible request of one tier that was started last.
     *
     * @param queue the queue of the request at risk
     * @param rank the rank of the tier of the victim
     * @return the victim, or null if there is none
     */
    private static RunningRequest victim(ClassQueue queue, int rank) {
        CandidateSet set = queue.candidates();
        RunningRequest latest = null;
        for (int i = 0; i < set.size(); i++) {
            ServerState server = set.server(i);
            if (server.running() > server.slots() || queue.excluded().contains(server.id())) {
                continue;
            }
            for (RunningRequest running : server.preemptible(rank)) {
                if (latest == null || running.start() > latest.start()) {
                    latest = running;
                }
            }
        }
        return latest;
    }

    /**
     * Reserves a freed slot for the request for which the running one was cancelled. If the slot
     * can't be reserved, that request is at risk again.
     *
     * @param finished the request that freed its slot
     */
    void reserveFreedSlot(RunningRequest finished) {
        if (finished.beneficiary().isEmpty()) {
            return;
        }
        WaitingRequest beneficiary = finished.beneficiary().get();
        beneficiary.victimOutstanding(false);
        if (!beneficiary.waiting()) {
            return;
        }
        ServerState server = finished.server();
        if (server.unreservedSlots() > 0 && beneficiary.queue().candidates().contains(server)) {
            server.reserve(beneficiary);
        } else {
            beneficiary.queue().atRisk().addFirst(beneficiary);
        }
    }
}
