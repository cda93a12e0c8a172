package org.magnoliaseam.dispatch;

import java.util.List;

/**
 * Starts waiting requests on free slots. The normal order is by tier, then by deadline. A class
 * that is overdue for its guaranteed share goes first, but takes at most every second start on a
 * server that the next request in normal order may use.
 */
final class StartRule {

    /** The reasons for starts in normal order, by the rank of the tier. */
    private static final String[] CAUSES = {"", "tier 1", "tier 2", "tier 3"};

    /** The waiting requests. */
    private final RequestQueues mQueues;

    /** The servers. */
    private final ServerTable mServers;

    /** The running requests. */
    private final RunningTable mRunning;

    /** The choice of servers. */
    private final Placement mPlacement;

    /**
     * Creates the rule.
     *
     * @param queues the waiting requests
     * @param servers the servers
     * @param running the running requests
     * @param placement the choice of servers
     */
    StartRule(
            RequestQueues queues, ServerTable servers, RunningTable running, Placement placement) {
        mQueues = queues;
        mServers = servers;
        mRunning = running;
        mPlacement = placement;
    }

    /**
     * Starts all requests that can be started.
     *
     * @param nowNanos the local monotonic time
     * @param decisions takes the decisions
     */
    void apply(long nowNanos, List<Decision> decisions) {
        boolean started = true;
        while (started) {
            WaitingRequest next = mQueues.next();
            started =
                    startOverdue(next, nowNanos, decisions) || startNext(next, nowNanos, decisions);
        }
    }

    /**
     * Starts the next request in normal order.
     *
     * @param next the next request in normal order, or null if none can be started
     * @param nowNanos the local monotonic time
     * @param decisions takes the decision
     * @return true if a request was started
     */
    private boolean startNext(WaitingRequest next, long nowNanos, List<Decision> decisions) {
        if (next == null) {
            return false;
        }
        ServerState server = mPlacement.choose(next, nowNanos);
        String reason = mPlacement.describe(CAUSES[next.tier().rank()], server);
        start(next, server, false, reason, nowNanos, decisions);
        return true;
    }

    /**
     * Starts a request of the class that has been overdue longest.
     *
     * @param next the next request in normal order, or null if none can be started
     * @param nowNanos the local monotonic time
     * @param decisions takes the decision
     * @return true if a request was started
     */
    private boolean startOverdue(WaitingRequest next, long nowNanos, List<Decision> decisions) {
        for (CandidateSet set : mServers.overdue(nowNanos)) {
            if (next != null && next.queue().candidates() == set) {
                return false;
            }
            WaitingRequest overdue = grantable(set, next, nowNanos);
            if (overdue != null) {
                ServerState server = mPlacement.chooseGranted(overdue, next, nowNanos);
                String reason = mPlacement.describe("guaranteed share", server);
                start(overdue, server, true, reason, nowNanos, decisions);
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the first request of an overdue class for which a slot is free.
     *
     * @param set the candidate set of the class
     * @param next the next request in normal order, or null if none can be started
     * @param nowNanos the local monotonic time
     * @return the request, or null if no slot is free
     */
    private WaitingRequest grantable(CandidateSet set, WaitingRequest next, long nowNanos) {
        WaitingRequest grantable = null;
        for (ClassQueue queue : mQueues.queues(set.tier().rank())) {
            WaitingRequest first = queue.candidates() == set ? queue.peek() : null;
            if (first != null && mPlacement.chooseGranted(first, next, nowNanos) != null) {
                grantable = RequestQueues.first(grantable, first);
            }
        }
        return grantable;
    }

    /**
     * Starts a request.
     *
     * @param request the first request of its queue
     * @param server the server
     * @param granted whether the start uses the guaranteed share of the class
     * @param reason the reason
     * @param nowNanos the local monotonic time
     * @param decisions takes the decision
     */
    private void start(
            WaitingRequest request,
            ServerState server,
            boolean granted,
            String reason,
            long nowNanos,
            List<Decision> decisions) {
        mRunning.start(request, server, granted, nowNanos);
        mQueues.poll(request);
        mPlacement.recordSent(request.work(), server.id());
        server.releaseExcess();
        decisions.add(new Decision.Start(request.id(), server.id(), granted, reason));
    }
}
