package org.magnoliaseam.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.magnoliaseam.model.ServiceName;
import org.magnoliaseam.placement.EngineBacklogLimit;
import org.magnoliaseam.placement.UrgentTargets;

/**
 * Decides which backend servers have room for a request: a free slot and, at an engine, so few
 * waiting prompts that it and more urgent requests meet their targets. Guarded by the lock of the
 * server pool.
 */
final class ServerRoom {

    /** The usual time of an answer of a plain service, as a fraction of its target. */
    private static final double PLAIN_ANSWER_SHARE = 0.5;

    /** The limit of waiting prompts that stands for none. */
    private static final long NO_LIMIT = -1;

    /** The targets of the recent requests of each service. */
    private final Map<ServiceName, UrgentTargets> mTargets = new HashMap<>();

    /** The load of the other entry VMs at the backend servers. */
    private final PeerLoads mPeerLoads;

    /**
     * Creates the rules without recent requests.
     *
     * @param peerLoads the load of the other entry VMs at the backend servers
     */
    ServerRoom(PeerLoads peerLoads) {
        mPeerLoads = peerLoads;
    }

    /**
     * Records a request that arrived.
     *
     * @param request the request
     * @param nowNanos the local monotonic time
     */
    void arrived(GatewayRequest request, long nowNanos) {
        targets(request).arrived(request.priority(), request.route().targetMillis(), nowNanos);
    }

    /**
     * Returns the target that a request has to leave room for at an engine.
     *
     * @param request the request
     * @param nowNanos the local monotonic time
     * @return the strictest of its own target and those of more urgent requests, in milliseconds
     */
    long strictestTarget(GatewayRequest request, long nowNanos) {
        long own = request.route().targetMillis();
        return targets(request).strictest(request.priority(), own, nowNanos);
    }

    /**
     * Tells whether a backend server has room for a request.
     *
     * @param request the request
     * @param state the backend server
     * @param target the result of {@link #strictestTarget} for the request
     * @param nowNanos the local monotonic time
     * @return true if it has a free slot and, if it is an engine, few prompts wait there
     */
    boolean hasRoom(GatewayRequest request, BackendServerState state, long target, long nowNanos) {
        int slots = state.entry().slots();
        boolean full = slots > 0 && state.occupied(mPeerLoads, nowNanos) >= slots;
        if (full || state.isPermitRefused(nowNanos)) {
            return false;
        }
        double wait = state.processingMillis(state.waitingTokens(mPeerLoads, nowNanos));
        return request.service().engine().isEmpty() || EngineBacklogLimit.admits(wait, target);
    }

    /**
     * Returns the prompt tokens that may wait at a backend server before those of a request.
     *
     * @param request the request
     * @param state the backend server
     * @param nowNanos the local monotonic time
     * @return the tokens; negative for a plain service
     */
    long limitTokens(GatewayRequest request, BackendServerState state, long nowNanos) {
        if (request.service().engine().isEmpty()) {
            return NO_LIMIT;
        }
        double target = strictestTarget(request, nowNanos);
        return state.tokensWithin(EngineBacklogLimit.limitMillis(target));
    }

    /**
     * Predicts the shortest time from a start to the first event or the answer of a request.
     *
     * @param request the request
     * @param inService the backend servers that may get it
     * @return the time in milliseconds
     */
    static double fastestAnswerMillis(GatewayRequest request, List<BackendServerState> inService) {
        if (request.service().engine().isEmpty()) {
            return PLAIN_ANSWER_SHARE * request.route().targetMillis();
        }
        double fastest = Double.POSITIVE_INFINITY;
        for (BackendServerState state : inService) {
            long tokens = state.uncachedTokens(request.prompt());
            fastest = Math.min(fastest, state.processingMillis(tokens));
        }
        return Double.isInfinite(fastest) ? 0 : fastest;
    }

    /**
     * Returns the targets of the recent requests of a service.
     *
     * @param request a request of the service
     * @return the targets
     */
    private UrgentTargets targets(GatewayRequest request) {
        return mTargets.computeIfAbsent(request.service().name(), name -> new UrgentTargets());
    }
}
