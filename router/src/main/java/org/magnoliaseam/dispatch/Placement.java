package org.magnoliaseam.dispatch;

import java.util.SplittableRandom;
import org.magnoliaseam.fleet.LoadReport;
import org.magnoliaseam.fleet.ServerView;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.Tier;

/**
 * Chooses the server for a request: the one with the lowest cost among a few random candidates. The
 * cost is the estimated load times the time per token. A bounded bonus goes to the server that last
 * received the prompt prefix, as it probably has the prefix in its cache.
 */
final class Placement {

    /** The number of candidates for the highest tier; sets up to this size are compared whole. */
    private static final int MANY_CANDIDATES = 4;

    /** The number of random candidates for the other tiers. */
    private static final int FEW_CANDIDATES = 2;

    /** The age at which a load report has half its weight, in nanoseconds. */
    private static final double HALF_WEIGHT_AGE_NANOS = 500_000_000.0;

    /** The time between tokens assumed for a server without measurements, in milliseconds. */
    private static final double UNKNOWN_TOKEN_MILLIS = 20.0;

    /** The bonus for the server with the prompt prefix, in running requests. */
    private static final double AFFINITY_BONUS_REQUESTS = 2.0;

    /** The random generator for the candidates. */
    private final SplittableRandom mRandom;

    /** The servers. */
    private final ServerTable mServers;

    /** The servers that last received the prompt prefixes. */
    private final AffinityTable mAffinity = new AffinityTable();

    /** The candidates compared in the current choice. */
    private final ServerState[] mCompared = new ServerState[MANY_CANDIDATES + 1];

    /** The costs of the candidates compared in the current choice. */
    private final double[] mCosts = new double[MANY_CANDIDATES + 1];

    /** The buffer for descriptions; reused to reduce allocations. */
    private final StringBuilder mText = new StringBuilder(256);

    /** The number of candidates compared in the current choice. */
    private int mCount;

    /**
     * Creates a placement.
     *
     * @param servers the servers
     * @param seed the seed of the random candidates
     */
    Placement(ServerTable servers, long seed) {
        mServers = servers;
        mRandom = new SplittableRandom(seed);
    }

    /**
     * Chooses an open server for a start in normal order.
     *
     * @param request the request
     * @param nowNanos the local monotonic time
     * @return the server, or null if none has a free slot for the tier
     */
    ServerState choose(WaitingRequest request, long nowNanos) {
        ClassQueue queue = request.queue();
        CandidateSet set = queue.candidates();
        boolean smallSet = set.openCount() <= MANY_CANDIDATES;
        boolean highest = request.tier().equals(Tier.HIGHEST);
        int draws = smallSet || highest ? MANY_CANDIDATES : FEW_CANDIDATES;
        collectCandidates(queue, set.openCount(), draws);
        ServerState affinityServer = affinityServer(request.work());
        if (affinityServer != null && set.containsOpen(affinityServer)) {
            addOnce(queue, affinityServer);
        }
        return lowestCost(request, nowNanos);
    }

    /**
     * Chooses a server for a granted start, that is, one that uses the guaranteed share of the
     * class. It may take any free slot that is not reserved. Two granted starts don't follow each
     * other on a server that the next request in normal order may use.
     *
     * @param request the request
     * @param next the next request in normal order, or null if none can be started
     * @param nowNanos the local monotonic time
     * @return the server, or null if there is no such slot
     */
    ServerState chooseGranted(WaitingRequest request, WaitingRequest next, long nowNanos) {
        CandidateSet set = request.queue().candidates();
        int range = mServers.pressured() ? set.size() : set.openCount();
        mCount = 0;
        int offset = range == 0 ? 0 : mRandom.nextInt(range);
        for (int i = 0; i < range && mCount < MANY_CANDIDATES; i++) {
            ServerState server = set.server((offset + i) % range);
            boolean dueToNext = server.lastStartGranted() && next != null && next.mayUse(server);
            if (server.unreservedSlots() > 0 && !dueToNext) {
                addOnce(request.queue(), server);
            }
        }
        return lowestCost(request, nowNanos);
    }

    /**
     * Records the server to which a request was sent.
     *
     * @param work the request
     * @param server the server
     */
    void recordSent(WorkItem work, BackendServerId server) {
        mAffinity.record(work.affinityKey(), server);
    }

    /**
     * Collects candidates: random ones from a large set, all open ones from a small set.
     *
     * @param queue the queue of the request
     * @param open the number of open servers
     * @param draws the number of random candidates to draw
     */
    private void collectCandidates(ClassQueue queue, int open, int draws) {
        mCount = 0;
        CandidateSet set = queue.candidates();
        for (int draw = 0; open > MANY_CANDIDATES && draw < draws; draw++) {
            addOnce(queue, set.server(mRandom.nextInt(open)));
        }
        for (int i = 0; (open <= MANY_CANDIDATES || mCount == 0) && i < open; i++) {
            addOnce(queue, set.server(i));
        }
    }

    /**
     * Adds a candidate unless it is excluded or was added before.
     *
     * @param queue the queue of the request
     * @param server the server
     */
    private void addOnce(ClassQueue queue, ServerState server) {
        if (queue.excluded().contains(server.id())) {
            return;
        }
        for (int i = 0; i < mCount; i++) {
            if (mCompared[i] == server) {
                return;
            }
        }
        if (mCount < mCompared.length) {
            mCompared[mCount++] = server;
        }
    }

    /**
     * Returns the collected candidate with the lowest cost.
     *
     * @param request the request
     * @param nowNanos the local monotonic time
     * @return the server, or null if none was collected
     */
    private ServerState lowestCost(WaitingRequest request, long nowNanos) {
        ServerState affinityServer = affinityServer(request.work());
        int best = -1;
        for (int i = 0; i < mCount; i++) {
            mCosts[i] = cost(mCompared[i], mCompared[i] == affinityServer, nowNanos);
            if (best < 0 || mCosts[i] < mCosts[best]) {
                best = i;
            }
        }
        return best < 0 ? null : mCompared[best];
    }

    /**
     * Estimates the cost of a request on a server.
     *
     * @param server the server
     * @param hasPrefix whether the server last received the prompt prefix
     * @param nowNanos the local monotonic time
     * @return the cost in milliseconds per token
     */
    private static double cost(ServerState server, boolean hasPrefix, long nowNanos) {
        ServerView view = server.view();
        double requests = 1 + server.running() + requestsOfOthers(server, nowNanos);
        if (hasPrefix) {
            requests -= AFFINITY_BONUS_REQUESTS;
        }
        return requests * (view.tokenMillis() > 0 ? view.tokenMillis() : UNKNOWN_TOKEN_MILLIS);
    }

    /**
     * Estimates the number of requests of other entry VMs on a server from its load report. The
     * weight of the report decreases with its age.
     *
     * @param server the server
     * @param nowNanos the local monotonic time
     * @return the weighted number of requests
     */
    private static double requestsOfOthers(ServerState server, long nowNanos) {
        if (server.view().report().isEmpty()) {
            return 0;
        }
        LoadReport report = server.view().report().get();
        int requestsOfOthers = Math.max(0, report.running() + report.queued() - server.running());
        double age = Math.max(0, nowNanos - report.confirmedNanos());
        return requestsOfOthers * HALF_WEIGHT_AGE_NANOS / (HALF_WEIGHT_AGE_NANOS + age);
    }

    /**
     * Returns the server that last received the prompt prefix.
     *
     * @param work the request
     * @return the server, or null if it is not known
     */
    private ServerState affinityServer(WorkItem work) {
        BackendServerId id = mAffinity.server(work.affinityKey());
        return id == null ? null : mServers.server(id);
    }

    /**
     * Describes the last choice.
     *
     * @param cause the reason why the request is started before others
     * @param chosen the chosen server
     * @return the cause, and the candidates with their costs
     */
    String describe(String cause, ServerState chosen) {
        mText.setLength(0);
        mText.append(cause).append(", lowest cost of ").append(mCount).append(':');
        for (int i = 0; i < mCount; i++) {
            mText.append(i == 0 ? " " : ", ").append(mCompared[i].id().value()).append(' ');
            mText.append(Math.round(mCosts[i]));
        }
        ServerView view = chosen.view();
        mText.append("; running ").append(chosen.running()).append(" of ").append(view.slots());
        return mText.append(" slots (").append(view.slotsReason()).append(')').toString();
    }
}
