package org.magnoliaseam.dispatch;

import java.util.List;
import java.util.Optional;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.model.Tier;

/**
 * Hands requests over to peers: early to a peer with free slots, late also to a peer that runs
 * lower tiers. Late means that the request would otherwise miss its target or be refused.
 */
final class HandOverRule {

    /** The number of milliseconds in a second. */
    private static final long MILLIS_PER_SECOND = 1000;

    /** The waiting requests. */
    private final RequestQueues mQueues;

    /** The servers. */
    private final ServerTable mServers;

    /** The running requests. */
    private final RunningTable mRunning;

    /** The peers. */
    private final PeerTable mPeers;

    /**
     * Creates the rule.
     *
     * @param queues the waiting requests
     * @param servers the servers
     * @param running the running requests
     * @param peers the peers
     */
    HandOverRule(RequestQueues queues, ServerTable servers, RunningTable running, PeerTable peers) {
        mQueues = queues;
        mServers = servers;
        mRunning = running;
        mPeers = peers;
    }

    /**
     * Hands over waiting requests.
     *
     * @param late whether to hand over the requests that would miss their target or be refused
     *     here, also to a peer that runs lower tiers
     * @param nowNanos the local monotonic time
     * @param decisions takes the decisions
     */
    void apply(boolean late, long nowNanos, List<Decision> decisions) {
        if (mPeers.isEmpty()) {
            return;
        }
        for (int rank = 1; rank <= Tier.LOWEST_RANK; rank++) {
            if (mQueues.size(rank) == 0) {
                continue;
            }
            for (ClassQueue queue : mQueues.queues(rank)) {
                handOverFirst(
                        late ? queue.lateHandOvers() : queue.earlyHandOvers(),
                        late,
                        nowNanos,
                        decisions);
            }
        }
    }

    /**
     * Hands over requests from the front of a deque until no peer is left for the next one.
     *
     * @param requests the requests
     * @param late whether a peer that runs lower tiers is acceptable
     * @param nowNanos the local monotonic time
     * @param decisions takes the decisions
     */
    private void handOverFirst(
            RequestDeque requests, boolean late, long nowNanos, List<Decision> decisions) {
        for (WaitingRequest request = requests.peekFirst();
                request != null;
                request = requests.peekFirst()) {
            if (request.awaitsSlot() || staysHere(request, nowNanos)) {
                requests.pollFirst();
                continue;
            }
            Optional<PeerState> peer = choose(request, late, nowNanos);
            if (peer.isEmpty()) {
                return;
            }
            mQueues.remove(request);
            String reason = late ? "would miss its target here" : "free slots at the peer only";
            decisions.add(handOver(request.work(), peer.get(), reason));
        }
    }

    /**
     * Tells whether a request stays here, so that the peers remain available to requests that can
     * still meet their target.
     *
     * @param request the request
     * @param nowNanos the local monotonic time
     * @return true if it misses its target in any case, can be served here, and its refusal is not
     *     yet near
     */
    private static boolean staysHere(WaitingRequest request, long nowNanos) {
        return request.missed()
                && nowNanos < request.deadlines().lateNanos()
                && !request.queue().hasNoServer();
    }

    /**
     * Chooses a peer for a request.
     *
     * @param request the request
     * @param late whether a peer that runs lower tiers is acceptable
     * @param nowNanos the local monotonic time
     * @return the peer, or empty if none is suitable
     */
    private Optional<PeerState> choose(WaitingRequest request, boolean late, long nowNanos) {
        if (mServers.pressuredAbove(request.tier().rank())) {
            return Optional.empty();
        }
        Optional<PeerState> peer =
                mPeers.withFreeSlots(
                        request.work().requestClass(),
                        mRunning.meanServiceNanos(request.tier()),
                        nowNanos);
        if (peer.isEmpty() && late) {
            peer = mPeers.withPreemptibleBelow(request.tier(), nowNanos);
        }
        if (peer.isEmpty() && late && request.queue().hasNoServer()) {
            peer = mPeers.leastLoaded(request.work().requestClass(), nowNanos);
        }
        return peer;
    }

    /**
     * Decides about a request that must not wait here: hands it over to a peer if one is suitable,
     * else refuses it. The caller removes the request from its queue.
     *
     * @param request the request
     * @param kind the kind of refusal
     * @param nowNanos the local monotonic time
     * @return the decision
     */
    Decision handOverOrRefuse(WaitingRequest request, ErrorKind kind, long nowNanos) {
        Optional<PeerState> peer = Optional.empty();
        if (request.transferable()) {
            peer =
                    kind == ErrorKind.LEAVING
                            ? mPeers.leastLoaded(request.work().requestClass(), nowNanos)
                            : choose(request, true, nowNanos);
        }
        if (peer.isPresent()) {
            return handOver(request.work(), peer.get(), "would be refused here: " + kind.text());
        }
        return refuse(request, kind);
    }

    /**
     * Refuses a request.
     *
     * @param request the request
     * @param kind the kind of refusal
     * @return the decision
     */
    static Decision refuse(WaitingRequest request, ErrorKind kind) {
        return new Decision.Refuse(
                request.id(), kind, kind.retryAfterSeconds() * MILLIS_PER_SECOND, kind.message());
    }

    /**
     * Hands a request over and counts it for the peer.
     *
     * @param work the request
     * @param peer the peer
     * @param reason the reason
     * @return the decision
     */
    private static Decision handOver(WorkItem work, PeerState peer, String reason) {
        peer.handedOver();
        return new Decision.HandOver(work.id(), peer.vm(), reason);
    }
}
