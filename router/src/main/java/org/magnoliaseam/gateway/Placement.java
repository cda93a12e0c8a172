package org.magnoliaseam.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.gossip.Demand;
import org.magnoliaseam.membership.StableHash;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.ServiceName;

/**
 * Ranks the backend servers that could run a request. All entry VMs agree on the first backend
 * server for a prompt without messages, so that its shared parts are read once.
 */
final class Placement {

    /** The share of the target for the first event up to which a prompt stays where it is kept. */
    private static final double STAY_SHARE = 0.5;

    /** The cost of reading a token; above 1, since reading also delays the requests behind. */
    private static final double READ_COST = 2.0;

    /** The cost of a certain failure, as a multiple of the target. */
    private static final double FAILURE_COST = 2.0;

    /** The cost of an engine meant for other requests, as a multiple of the target. */
    private static final double DETOUR_COST = 0.4;

    /** The division of the engines of each service. */
    private final Map<ServiceName, EngineGroups> mGroups = new HashMap<>();

    /** The failure domain of this entry VM. */
    private final FailureDomain mOwnDomain;

    /** What the other entry VMs have running. */
    private final ForeignLoads mForeign;

    /**
     * Creates a rule.
     *
     * @param ownDomain the failure domain of this entry VM
     * @param foreign what the other entry VMs have running
     */
    Placement(FailureDomain ownDomain, ForeignLoads foreign) {
        mOwnDomain = ownDomain;
        mForeign = foreign;
    }

    /**
     * Returns the work that this entry VM got lately.
     *
     * @param nowNanos the local monotonic time
     * @return the work of each kind of request
     */
    List<Demand> demands(long nowNanos) {
        List<Demand> demands = new ArrayList<>();
        mGroups.values().forEach(groups -> demands.addAll(groups.demands(nowNanos)));
        return demands;
    }

    /**
     * Counts a request that has been sent.
     *
     * @param request the request
     * @param unreadTokens the prompt tokens that its backend server has to read
     * @param nowNanos the local monotonic time
     */
    void started(GatewayRequest request, long unreadTokens, long nowNanos) {
        if (request.service().engine().isPresent()) {
            groups(request).started(request, unreadTokens, nowNanos);
        }
    }

    /**
     * Chooses a backend server.
     *
     * @param request the request
     * @param present the backend servers of the service
     * @param candidates those that may run the request now, at least one
     * @param nowNanos the local monotonic time
     * @return the best one
     */
    ServerState choose(
            GatewayRequest request,
            List<ServerState> present,
            List<ServerState> candidates,
            long nowNanos) {
        if (request.service().engine().isEmpty()) {
            return cheapest(request, candidates, Set.of(), nowNanos);
        }
        EngineGroups.Group group = groups(request).group(request, present, nowNanos);
        List<ServerState> own = new ArrayList<>(candidates);
        own.retainAll(group.own());
        if (!own.isEmpty()) {
            ServerState home = home(request.prompt().affinityKey(), own);
            double limit = STAY_SHARE * request.route().targetMillis();
            if (cost(request, home, nowNanos) <= limit) {
                return home;
            }
        }
        List<ServerState> allowed = new ArrayList<>(candidates);
        allowed.removeIf(state -> !group.own().contains(state) && !group.laxer().contains(state));
        Set<ServerState> laxer = new HashSet<>(group.laxer());
        return cheapest(request, allowed.isEmpty() ? candidates : allowed, laxer, nowNanos);
    }

    /**
     * Returns the division of the engines of a request's service.
     *
     * @param request the request
     * @return the division
     */
    private EngineGroups groups(GatewayRequest request) {
        return mGroups.computeIfAbsent(
                request.service().name(), name -> new EngineGroups(name, mForeign));
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
                + chosen.occupied(mForeign, nowNanos);
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
     * @param others those that are meant for requests that bear longer pauses
     * @param nowNanos the local monotonic time
     * @return the cheapest; among equals one in the own failure domain
     */
    private ServerState cheapest(
            GatewayRequest request,
            List<ServerState> candidates,
            Set<ServerState> others,
            long nowNanos) {
        double detour = DETOUR_COST * request.route().targetMillis();
        return Collections.min(
                candidates,
                Comparator.comparingDouble(
                                (ServerState state) ->
                                        cost(request, state, nowNanos)
                                                + (others.contains(state) ? detour : 0))
                        .thenComparing(state -> !near(state.entry())));
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
    private double cost(GatewayRequest request, ServerState state, long nowNanos) {
        double target = request.route().targetMillis();
        double slots = Math.max(1, state.entry().slots());
        double fullness = state.occupied(mForeign, nowNanos) / slots;
        double failures = FAILURE_COST * state.failures().rate() * target;
        long unread = state.unreadTokens(request.prompt());
        double wait = state.readMillis(state.waitingTokens(mForeign));
        double read = READ_COST * state.readMillis(unread);
        return wait + read + fullness * target + failures;
    }
}
