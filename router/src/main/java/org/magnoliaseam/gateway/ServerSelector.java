package org.magnoliaseam.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.gossip.Demand;
import org.magnoliaseam.membership.StableHash;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.ServiceName;

/**
 * Selects the backend server for a request by estimated cost. For a prompt, all entry VMs prefer
 * the same backend server without exchanging messages, so that its shared parts are processed only
 * once.
 */
final class ServerSelector {

    /** The cost of a certain failure, as a multiple of the target. */
    static final double FAILURE_COST = 2.0;

    /**
     * The cost up to which a prompt goes to its preferred backend server, as a fraction of the
     * target for the first event.
     */
    private static final double AFFINITY_COST_SHARE = 0.5;

    /**
     * The weight of the time to process the prompt; above 1, since processing also delays the
     * requests queued behind it.
     */
    private static final double PROCESSING_COST = 2.0;

    /** The cost of an engine that is reserved for other requests, as a multiple of the target. */
    private static final double OVERFLOW_COST = 0.4;

    /** Finds the engines from which others fetch cached prompt parts. */
    private final CacheSources mCacheSources;

    /** The engine groups of each service. */
    private final Map<ServiceName, EngineGroups> mGroups = new HashMap<>();

    /** The failure domain of this entry VM. */
    private final FailureDomain mOwnDomain;

    /** The load of the other entry VMs at the backend servers. */
    private final PeerLoads mPeerLoads;

    /** Knows the number of entry VMs. */
    private final VmShares mShares;

    /**
     * Creates a selector.
     *
     * @param ownDomain the failure domain of this entry VM
     * @param peerLoads the load of the other entry VMs at the backend servers
     * @param shares knows the number of entry VMs
     */
    ServerSelector(FailureDomain ownDomain, PeerLoads peerLoads, VmShares shares) {
        mShares = shares;
        mCacheSources = new CacheSources(shares);
        mOwnDomain = ownDomain;
        mPeerLoads = peerLoads;
    }

    /**
     * Returns the recent demand at this entry VM.
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
     * @param uncachedTokens the prompt tokens that its backend server has to process
     * @param nowNanos the local monotonic time
     */
    void started(GatewayRequest request, long uncachedTokens, long nowNanos) {
        if (request.service().engine().isPresent()) {
            groups(request).started(request, uncachedTokens, nowNanos);
        }
    }

    /**
     * Selects a backend server.
     *
     * @param request the request
     * @param present the backend servers of the service that are in service
     * @param candidates the backend servers that may run the request now, at least one
     * @param nowNanos the local monotonic time
     * @return the selected backend server
     */
    BackendServerState choose(
            GatewayRequest request,
            List<BackendServerState> present,
            List<BackendServerState> candidates,
            long nowNanos) {
        if (isCrowded(request, present)) {
            return CrowdedServices.choose(request, candidates, mOwnDomain, nowNanos);
        }
        if (request.service().engine().isEmpty()) {
            EngineGroups.Group all = EngineGroups.Group.ALL;
            return cheapest(request, candidates, all, CacheSources.Reach.NONE, nowNanos);
        }
        List<BackendServerState> allowed = unreserved(request, present, candidates, nowNanos);
        EngineGroups.Group group = groups(request).group(request, present, nowNanos);
        BackendServerState preferred = preferred(request.prompt().affinityKey(), allowed, group);
        double limit = AFFINITY_COST_SHARE * request.route().targetMillis();
        CacheSources.Reach reach = mCacheSources.reach(request, present, nowNanos);
        if (preferred != null && cost(request, preferred, reach, nowNanos) <= limit) {
            return preferred;
        }
        return cheapest(request, allowed, group, reach, nowNanos);
    }

    /**
     * Tells whether the entry VMs outnumber the slots of a plain service.
     *
     * @param request a request of the service
     * @param present the backend servers of the service that are in service
     * @return true if only the servers' own statements count
     */
    boolean isCrowded(GatewayRequest request, List<BackendServerState> present) {
        return CrowdedServices.isCrowded(request, present, mShares);
    }

    /**
     * Returns the backend servers that a request may use. The engines of requests that tolerate
     * only shorter pauses are left out unless there is no other, since a long prompt there would
     * delay every stream.
     *
     * @param request the request
     * @param present the backend servers of the service that are in service
     * @param candidates the backend servers that may run the request now
     * @param nowNanos the local monotonic time
     * @return the candidates without the reserved ones; all if there are only reserved ones
     */
    List<BackendServerState> unreserved(
            GatewayRequest request,
            List<BackendServerState> present,
            List<BackendServerState> candidates,
            long nowNanos) {
        if (request.service().engine().isEmpty()) {
            return candidates;
        }
        EngineGroups.Group group = groups(request).group(request, present, nowNanos);
        if (group.begin() == 0) {
            return candidates;
        }
        List<BackendServerState> unreserved = new ArrayList<>(candidates.size());
        for (BackendServerState candidate : candidates) {
            if (!group.isReserved(candidate)) {
                unreserved.add(candidate);
            }
        }
        return unreserved.isEmpty() ? candidates : unreserved;
    }

    /**
     * Returns the engine groups of the service of a request.
     *
     * @param request the request
     * @return the engine groups
     */
    private EngineGroups groups(GatewayRequest request) {
        return mGroups.computeIfAbsent(
                request.service().name(), name -> new EngineGroups(name, mPeerLoads));
    }

    /**
     * Sets whether each engine group of a service has its part of the engines of every failure
     * domain.
     *
     * @param service the service
     * @param balanced whether requests prefer their failure domain
     */
    void balanceDomains(ServiceName service, boolean balanced) {
        EngineGroups groups = mGroups.get(service);
        if (groups != null) {
            groups.balanceDomains(balanced);
        }
    }

    /**
     * Returns a rule that tells which backend servers are reserved for other requests.
     *
     * @param request the request
     * @param present the backend servers of the service that are in service
     * @param nowNanos the local monotonic time
     * @return true for engines of requests that tolerate only shorter pauses
     */
    Predicate<BackendServerState> reserved(
            GatewayRequest request, List<BackendServerState> present, long nowNanos) {
        return request.service().engine().isEmpty()
                ? state -> false
                : groups(request).group(request, present, nowNanos)::isReserved;
    }

    /**
     * Describes the inputs of a selection.
     *
     * @param request the request
     * @param chosen the selected backend server
     * @param candidates the number of backend servers compared
     * @param nowNanos the local monotonic time
     * @return a short text for the log
     */
    String describe(
            GatewayRequest request, BackendServerState chosen, int candidates, long nowNanos) {
        return "cost="
                + Math.round(cost(request, chosen, CacheSources.Reach.NONE, nowNanos))
                + " of="
                + candidates
                + " running="
                + chosen.running()
                + " occupied="
                + chosen.occupied(mPeerLoads, nowNanos)
                + chosen.times().describe(nowNanos);
    }

    /**
     * Returns the preferred backend server of a prompt, which is the same at all entry VMs.
     *
     * @param key the affinity key of the prompt
     * @param candidates the backend servers
     * @param group the engines for requests of its kind
     * @return the engine of the group with the highest rendezvous weight; null if the group has
     *     none
     */
    private static BackendServerState preferred(
            String key, List<BackendServerState> candidates, EngineGroups.Group group) {
        long keyHash = StableHash.of(key, 0);
        BackendServerState best = null;
        long bestWeight = 0;
        for (BackendServerState candidate : candidates) {
            if (!group.isOwn(candidate)) {
                continue;
            }
            long weight = StableHash.mix(keyHash ^ candidate.hash());
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
     * @param group the engines for requests of its kind
     * @param reach the cached prompt parts that an engine can fetch
     * @param nowNanos the local monotonic time
     * @return the backend server with the lowest cost; among equals one in the own failure domain
     */
    private BackendServerState cheapest(
            GatewayRequest request,
            List<BackendServerState> candidates,
            EngineGroups.Group group,
            CacheSources.Reach reach,
            long nowNanos) {
        double overflowCost = OVERFLOW_COST * request.route().targetMillis();
        BackendServerState best = null;
        double bestCost = 0;
        for (BackendServerState candidate : candidates) {
            double cost = cost(request, candidate, reach, nowNanos);
            cost += group.isOverflow(candidate) ? overflowCost : 0;
            boolean closer = best != null && isLocal(candidate.entry()) && !isLocal(best.entry());
            if (best == null || cost < bestCost || cost == bestCost && closer) {
                best = candidate;
                bestCost = cost;
            }
        }
        return best;
    }

    /**
     * Tells whether a backend server is in the failure domain of this entry VM.
     *
     * @param server the backend server
     * @return true if both are in the same failure domain
     */
    private boolean isLocal(ServerEntry server) {
        return server.failureDomain().equals(mOwnDomain);
    }

    /**
     * Estimates the time to the first event or the answer, with penalties for load and failures.
     *
     * @param request the request
     * @param state the backend server
     * @param reach the cached prompt parts that an engine can fetch
     * @param nowNanos the local monotonic time
     * @return the cost in milliseconds
     */
    private double cost(
            GatewayRequest request,
            BackendServerState state,
            CacheSources.Reach reach,
            long nowNanos) {
        double target = request.route().targetMillis();
        double slots = Math.max(1, state.entry().slots());
        double occupancy = state.occupied(mPeerLoads, nowNanos) / slots;
        double failures = FAILURE_COST * state.failures().rate() * target;
        ServerTimes times = state.times();
        if (request.service().engine().isEmpty() && times.hasFactors()) {
            double assumed = ServerRoom.PLAIN_ANSWER_SHARE * target;
            return times.answerMillis(assumed, occupancy, nowNanos) + failures;
        }
        long uncached = reach.tokens(request.prompt(), state, nowNanos);
        double wait = times.processingMillis(state.waitingTokens(mPeerLoads, nowNanos), nowNanos);
        double processing = PROCESSING_COST * times.processingMillis(uncached, nowNanos);
        double slow = times.extraBaseMillis(nowNanos);
        return wait + processing + slow + occupancy * target + failures;
    }
}
