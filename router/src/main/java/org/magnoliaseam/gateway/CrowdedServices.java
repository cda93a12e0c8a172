package org.magnoliaseam.gateway;

import java.util.List;
import org.magnoliaseam.membership.StableHash;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.placement.CrowdedService;
import org.magnoliaseam.placement.TwoChoices;

/**
 * Applies the rules for plain services whose slots are few for the number of entry VMs. Guarded by
 * the lock of the server pool.
 */
final class CrowdedServices {

    /** Selects the draws of the first server. */
    private static final int FIRST_SEED = 11;

    /** Selects the draws of the second server. */
    private static final int SECOND_SEED = 12;

    /** Prevents instances of this utility class. */
    private CrowdedServices() {}

    /**
     * Tells whether the rules apply to a request.
     *
     * @param request the request
     * @param present the backend servers of its service that are in service
     * @param shares knows the number of entry VMs
     * @return true for a plain service whose slots the entry VMs outnumber
     */
    static boolean isCrowded(
            GatewayRequest request, List<BackendServerState> present, VmShares shares) {
        if (request.service().engine().isPresent() || !shares.members().settled()) {
            return false;
        }
        int slots = 0;
        for (BackendServerState state : present) {
            if (state.entry().slots() == 0) {
                return false;
            }
            slots += state.entry().slots();
        }
        return CrowdedService.isCrowded(shares.vms(), slots);
    }

    /**
     * Tells whether a backend server has room, by its own statements alone.
     *
     * @param state the backend server
     * @param now the local monotonic time
     * @return false while it has stated that it is full
     */
    static boolean hasRoom(BackendServerState state, long now) {
        return !state.stated().closes(state.entry().slots(), state.running(), now);
    }

    /**
     * Selects a backend server.
     *
     * @param request the request
     * @param candidates the backend servers that may run the request now, at least one
     * @param ownDomain the failure domain of this entry VM
     * @param now the local monotonic time
     * @return the selected backend server
     */
    static BackendServerState choose(
            GatewayRequest request,
            List<BackendServerState> candidates,
            FailureDomain ownDomain,
            long now) {
        List<TwoChoices.Option> options =
                candidates.stream()
                        .map(
                                state ->
                                        new TwoChoices.Option(
                                                1 / state.times().factor(now),
                                                millis(request, state, now),
                                                state.entry().failureDomain().equals(ownDomain)))
                        .toList();
        String text = request.id().value() + now;
        double first = StableHash.draw(text, FIRST_SEED);
        double second = StableHash.draw(text, SECOND_SEED);
        return candidates.get(TwoChoices.choose(options, first, second));
    }

    /**
     * Predicts the time of an answer from what this entry VM has seen itself.
     *
     * @param request the request
     * @param state the backend server
     * @param now the local monotonic time
     * @return the time in milliseconds, with a penalty for recent failures
     */
    private static double millis(GatewayRequest request, BackendServerState state, long now) {
        double target = request.route().targetMillis();
        double load = state.running() + state.stated().others(now);
        double assumed = ServerRoom.PLAIN_ANSWER_SHARE * target;
        double answer = state.times().answerMillis(assumed, load / state.entry().slots(), now);
        return answer + ServerSelector.FAILURE_COST * state.failures().rate() * target;
    }
}
