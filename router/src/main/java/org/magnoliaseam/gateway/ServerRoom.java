package org.magnoliaseam.gateway;

import java.util.ArrayList;
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
    static final double PLAIN_ANSWER_SHARE = 0.5;

    /** The limits of a plain service. */
    private static final Limits NO_LIMITS = new Limits(-1, -1);

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
     * Tells whether a backend server has a free slot.
     *
     * @param state the backend server
     * @param nowNanos the local monotonic time
     * @return true if fewer requests run and wait there than it has slots, as far as is known
     */
    boolean hasSlot(BackendServerState state, long nowNanos) {
        int slots = state.entry().slots();
        return slots == 0 || state.occupied(mPeerLoads, nowNanos) < slots;
    }

    /**
     * Tells whether few prompts wait at an engine.
     *
     * @param request the request
     * @param state the backend server
     * @param nowNanos the local monotonic time
     * @return true if it may get the request, or if it is no engine
     */
    static boolean hasRoom(GatewayRequest request, BackendServerState state, long nowNanos) {
        if (request.service().engine().isEmpty()) {
            return true;
        }
        ServerTimes times = state.times();
        double base = times.baseMillis(nowNanos);
        double wait = times.processingMillis(state.countedTokens(nowNanos), nowNanos) - base;
        return !state.backlog().isRefused(nowNanos)
                && EngineBacklogLimit.admits(wait, request.route().targetMillis());
    }

    /**
     * Returns the backend servers at which few prompts wait.
     *
     * @param request the request
     * @param states the backend servers
     * @param nowNanos the local monotonic time
     * @return those that may get the request; all if they are no engines
     */
    static List<BackendServerState> withRoom(
            GatewayRequest request, List<BackendServerState> states, long nowNanos) {
        if (request.service().engine().isEmpty()) {
            return states;
        }
        List<BackendServerState> free = new ArrayList<>();
        for (BackendServerState state : states) {
            if (hasRoom(request, state, nowNanos)) {
                free.add(state);
            }
        }
        return free;
    }

    /**
     * Holds the prompt tokens that may wait at an engine before those of a request.
     *
     * @param own the tokens that let the request meet its target; negative for a plain service
     * @param shared the tokens that let more urgent requests meet their targets as well
     */
    record Limits(long own, long shared) {

        /**
         * Tells whether the backend server is an engine.
         *
         * @return false for a plain service
         */
        boolean areForEngine() {
            return own >= 0;
        }
    }

    /**
     * Returns the prompt tokens that may wait at a backend server before those of a request. A
     * prompt counts until its first event, so those of the base time come on top.
     *
     * @param request the request
     * @param state the backend server
     * @param nowNanos the local monotonic time
     * @return the limits
     */
    Limits limits(GatewayRequest request, BackendServerState state, long nowNanos) {
        if (request.service().engine().isEmpty()) {
            return NO_LIMITS;
        }
        ServerTimes times = state.times();
        double base = times.baseMillis(nowNanos);
        double own = base + EngineBacklogLimit.limitMillis(request.route().targetMillis());
        double shared = base + EngineBacklogLimit.limitMillis(strictestTarget(request, nowNanos));
        return new Limits(times.tokensWithin(own, nowNanos), times.tokensWithin(shared, nowNanos));
    }

    /**
     * Returns the strictest target of a request and of the recent, more urgent ones.
     *
     * @param request the request
     * @param nowNanos the local monotonic time
     * @return the target in milliseconds
     */
    private long strictestTarget(GatewayRequest request, long nowNanos) {
        long own = request.route().targetMillis();
        return targets(request).strictest(request.priority(), own, nowNanos);
    }

    /**
     * Predicts the shortest time from a start to the first event or the answer of a request.
     *
     * @param request the request
     * @param inService the backend servers that may get it
     * @param nowNanos the local monotonic time
     * @return the time in milliseconds
     */
    static double fastestAnswerMillis(
            GatewayRequest request, List<BackendServerState> inService, long nowNanos) {
        if (request.service().engine().isEmpty()) {
            return PLAIN_ANSWER_SHARE * request.route().targetMillis();
        }
        double fastest = Double.POSITIVE_INFINITY;
        for (BackendServerState state : inService) {
            long tokens = state.uncachedTokens(request.prompt());
            double base = state.times().baseMillis(nowNanos);
            double processing = state.times().processingMillis(tokens, nowNanos);
            fastest = Math.min(fastest, base + processing);
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
