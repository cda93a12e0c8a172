package org.magnoliaseam.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.membership.StableHash;
import org.magnoliaseam.model.FailureDomain;

/**
 * Ranks the backend servers that could run a request. All entry VMs agree on the first backend
 * server for a prompt without messages, so that its shared parts are read once.
 */
final class Placement {

    /** The share of the target for the first event up to which a prompt stays where it is kept. */
    private static final double STAY_SHARE = 0.5;

    /** The cost of a certain failure, as a multiple of the target. */
    private static final double FAILURE_COST = 2.0;

    /** The failure domain of this entry VM. */
    private final FailureDomain mOwnDomain;

    /**
     * Creates a rule.
     *
     * @param ownDomain the failure domain of this entry VM
     */
    Placement(FailureDomain ownDomain) {
        mOwnDomain = ownDomain;
    }

    /**
     * Chooses a backend server.
     *
     * @param request the request
     * @param candidates the backend servers that may run it, at least one
     * @param nowNanos the local monotonic time
     * @return the best one
     */
    ServerState choose(GatewayRequest request, List<ServerState> candidates, long nowNanos) {
        if (request.prompt().parts().isEmpty()) {
            return leastLoaded(request, candidates, nowNanos);
        }
        ServerState home = home(request.prompt().affinityKey(), candidates);
        double target = request.route().targetMillis();
        if (cost(request, home, nowNanos) <= STAY_SHARE * target) {
            return home;
        }
        return leastLoaded(request, candidates, nowNanos);
    }

    /**
     * Describes the inputs of a choice.
     *
     * @param request the request
     * @param chosen the chosen backend server
     * @param candidates the number of backend servers compared
     * @param nowNanos the local monotonic time
     * @return a short text for the log
     */
    String describe(GatewayRequest request, ServerState chosen, int candidates, long nowNanos) {
        return "cost="
                + Math.round(cost(request, chosen, nowNanos))
                + " of="
                + candidates
                + " running="
                + chosen.running()
                + " occupied="
                + chosen.occupied(nowNanos);
    }

    /**
     * Returns the backend server on which all entry VMs agree for a prompt.
     *
     * @param key the key of the prompt
     * @param candidates the backend servers
     * @return the one with the highest rendezvous weight
     */
    private static ServerState home(String key, List<ServerState> candidates) {
        ServerState best = null;
        long bestWeight = 0;
        for (ServerState candidate : candidates) {
            long weight = StableHash.of(key + '/' + candidate.id().value(), 0);
            if (best == null || Long.compareUnsigned(weight, bestWeight) > 0) {
                best = candidate;
                bestWeight = weight;
            }
        }
        return best;
    }

    /**
     * Returns the backend server with the lowest cost.
     *
     * @param request the request
     * @param candidates the backend servers
     * @param nowNanos the local monotonic time
     * @return the cheapest; among equals one in the own failure domain
     */
    private ServerState leastLoaded(
            GatewayRequest request, List<ServerState> candidates, long nowNanos) {
        List<ServerState> sorted = new ArrayList<>(candidates);
        sorted.sort(
                Comparator.comparingDouble((ServerState state) -> cost(request, state, nowNanos))
                        .thenComparing(state -> !near(state.entry())));
        return sorted.get(0);
    }

    /**
     * Tells whether a backend server stands in the own failure domain.
     *
     * @param server the backend server
     * @return true if it is near
     */
    private boolean near(ServerEntry server) {
        return server.failureDomain().equals(mOwnDomain);
    }

    /**
     * Estimates the time to the first event or the answer.
     *
     * @param request the request
     * @param state the backend server
     * @param nowNanos the local monotonic time
     * @return the cost in milliseconds
     */
    private static double cost(GatewayRequest request, ServerState state, long nowNanos) {
        double target = request.route().targetMillis();
        double slots = Math.max(1, state.entry().slots());
        double fullness = state.occupied(nowNanos) / slots;
        double failures = FAILURE_COST * state.failures().rate() * target;
        return state.readMillis(request.prompt()) + fullness * target + failures;
    }
}
