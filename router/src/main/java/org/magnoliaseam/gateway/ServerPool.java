package org.magnoliaseam.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.catalog.Service;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.gossip.Demand;
import org.magnoliaseam.gossip.Digest;
import org.magnoliaseam.gossip.GossipListener;
import org.magnoliaseam.gossip.Membership;
import org.magnoliaseam.gossip.PartRead;
import org.magnoliaseam.gossip.PeerEndpoint;
import org.magnoliaseam.gossip.ServerLoad;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Tracks the published backend servers and their load, and selects one for each attempt.
 * Thread-safe.
 */
public final class ServerPool implements GossipListener {

    /**
     * The time after an outage of the publisher in which expired entries may be published again, in
     * nanoseconds.
     */
    private static final long REAPPEAR_NANOS = 2_200_000_000L;

    /** Logs changes of the published backend servers and of the other entry VMs. */
    private static final Logger LOG = LogManager.getLogger("board");

    /** The backend servers that are published. */
    private final Map<BackendServerId, BackendServerState> mServers = new TreeMap<>();

    /** The failure domains that are out of service. */
    private final Set<FailureDomain> mOutOfService = new HashSet<>();

    /** The retry budget of each service. */
    private final ServiceRetryBudgets mBudgets;

    /** Selects backend servers. */
    private final ServerSelector mSelector;

    /** The load of the other entry VMs at the backend servers. */
    private final PeerLoads mPeerLoads = new PeerLoads();

    /** The prompt parts to report to the other entry VMs. */
    private final RecentPromptParts mRecentParts = new RecentPromptParts();

    /** The clock. */
    private final MonotonicClock mClock;

    /** The backend servers whose entries expired during an outage of the publisher. */
    private final Set<BackendServerId> mExpired = new HashSet<>();

    /** The local monotonic time up to which expired entries may be published again. */
    private long mReappearUntilNanos;

    /** Divides limits that apply to all entry VMs together. */
    private final VmShares mShares = new VmShares();

    /**
     * Creates a pool without backend servers.
     *
     * @param ownDomain the failure domain of this entry VM
     * @param retries the limits of retries
     * @param clock the clock
     */
    public ServerPool(
            FailureDomain ownDomain, Supplier<RetryLimits> retries, MonotonicClock clock) {
        mSelector = new ServerSelector(ownDomain, mPeerLoads);
        mBudgets = new ServiceRetryBudgets(retries);
        mClock = clock;
        mReappearUntilNanos = clock.nanos();
    }

    /**
     * Adds or updates a published backend server.
     *
     * @param entry the entry
     */
    public synchronized void published(ServerEntry entry) {
        mExpired.remove(entry.id());
        BackendServerState known = mServers.get(entry.id());
        if (known == null) {
            mServers.put(entry.id(), new BackendServerState(entry, mClock.nanos()));
        } else {
            known.update(entry, mClock.nanos());
        }
        LOG.info(
                "board: published, id={} service={} domain={} draining={} cold_ms={}",
                entry.id(),
                entry.service(),
                entry.failureDomain(),
                entry.draining(),
                entry.coldMillis());
    }

    /**
     * Records that the publisher is reachable again after an outage. Entries that expired during
     * the outage are published again shortly if their backend servers are alive.
     */
    public synchronized void publisherReturned() {
        mReappearUntilNanos = mClock.nanos() + REAPPEAR_NANOS;
    }

    /**
     * Removes a backend server that is no longer published. Shortly after an outage of the
     * publisher the removal is delayed, since the server may be published again.
     *
     * @param id the backend server
     */
    public synchronized void withdrawn(BackendServerId id) {
        BackendServerState state = mServers.get(id);
        boolean mayReappear = mClock.nanos() - mReappearUntilNanos < 0;
        if (state != null && mayReappear && !state.entry().draining()) {
            mExpired.add(id);
        } else if (mServers.remove(id) != null) {
            LOG.info("board: backend server removed, id={}", id);
        }
    }

    /**
     * Removes the backend servers that were not published again in time after an outage of the
     * publisher.
     */
    private void removeExpired() {
        if (!mExpired.isEmpty() && mClock.nanos() - mReappearUntilNanos >= 0) {
            List<BackendServerId> expired = List.copyOf(mExpired);
            mExpired.clear();
            expired.forEach(this::withdrawn);
        }
    }

    /**
     * Removes all backend servers that a full list lacks.
     *
     * @param listed the backend servers in the list
     */
    public synchronized void retain(Set<BackendServerId> listed) {
        List<BackendServerId> missing = new ArrayList<>(mServers.keySet());
        missing.removeAll(listed);
        missing.forEach(this::withdrawn);
    }

    /**
     * Sets the failure domains that are out of service.
     *
     * @param out the failure domains that get no new work
     */
    public synchronized void outOfService(Collection<FailureDomain> out) {
        if (!mOutOfService.equals(Set.copyOf(out))) {
            mOutOfService.clear();
            mOutOfService.addAll(out);
            LOG.info("board: failure domains out of service, domains={}", mOutOfService);
        }
    }

    /**
     * Returns the number of backend servers.
     *
     * @return the number of backend servers in the pool
     */
    public synchronized int size() {
        return mServers.size();
    }

    @Override
    public synchronized List<ServerLoad> loads() {
        List<ServerLoad> loads = new ArrayList<>();
        for (BackendServerState state : mServers.values()) {
            if (state.running() > 0) {
                loads.add(new ServerLoad(state.id(), state.running(), state.pendingTokens()));
            }
        }
        return loads;
    }

    @Override
    public synchronized List<Demand> demands() {
        return mSelector.demands(mClock.nanos());
    }

    @Override
    public synchronized List<PartRead> reads(int digests) {
        return mRecentParts.next(digests);
    }

    @Override
    public synchronized void heard(PeerEndpoint peer, Digest digest) {
        mPeerLoads.heard(peer, digest, mClock.nanos());
        for (PartRead read : digest.reads()) {
            BackendServerState state = mServers.get(read.server());
            if (state != null) {
                state.recordPeerPart(read.part(), read.tokens());
            }
        }
    }

    @Override
    public synchronized void members(Membership members) {
        mPeerLoads.expire(mClock.nanos());
        removeExpired();
        if (members.vms() != mShares.vms()) {
            LOG.info(
                    "board: entry VMs that share the limits, before={} now={}",
                    mShares.vms(),
                    members.vms());
        }
        mShares.members(members);
    }

    /**
     * Selects a backend server for an attempt and counts the attempt.
     *
     * @param request the request
     * @param excluded the backend servers that get no further attempt of the request
     * @return the selected backend server, or the reason to wait
     */
    synchronized ServerChoice choose(GatewayRequest request, Set<BackendServerId> excluded) {
        long now = mClock.nanos();
        List<BackendServerState> present = select(state -> present(state, request));
        if (present.isEmpty()) {
            return new ServerChoice.Wait(ErrorKind.NO_BACKEND_SERVER);
        }
        List<BackendServerState> available = new ArrayList<>();
        for (BackendServerState state : present) {
            boolean notExcluded = !excluded.contains(state.id());
            if (notExcluded && state.admits(request.service(), mShares, now)) {
                available.add(state);
            }
        }
        List<BackendServerState> healthy = new ArrayList<>(available);
        healthy.removeIf(state -> state.failures().ejected(state.running(), now));
        List<BackendServerState> candidates = healthy.isEmpty() ? available : healthy;
        candidates.removeIf(state -> full(state, now));
        if (candidates.isEmpty()) {
            return new ServerChoice.Wait(ErrorKind.OVERLOADED);
        }
        BackendServerState chosen = mSelector.choose(request, present, candidates, now);
        String reason = mSelector.describe(request, chosen, candidates.size(), now);
        boolean alone = chosen.waitingTokens(mPeerLoads) == 0;
        long tokens = chosen.start(request, mShares, now);
        mSelector.started(request, tokens, now);
        mRecentParts.sent(chosen.id(), request.prompt());
        return new ServerChoice.Start(chosen, tokens, alone, reason);
    }

    /**
     * Tells whether a backend server may still get a request; called right before the first byte is
     * sent.
     *
     * @param order the attempt
     * @return true if it is published, in service and not draining
     */
    synchronized boolean confirm(TryOrder order) {
        BackendServerState state = mServers.get(order.server().id());
        return state != null && present(state, order.request());
    }

    /**
     * Records that the prompt of an attempt has been processed, or that the attempt ended before.
     *
     * @param server the backend server
     * @param tokens the prompt tokens that it had to process
     * @param millis the time to the first event in milliseconds; 0 if it does not measure the
     *     processing speed
     */
    synchronized void promptProcessed(BackendServerState server, long tokens, double millis) {
        server.promptProcessed(tokens);
        server.measured(tokens, millis);
    }

    /**
     * Records the load that a backend server reports.
     *
     * @param server the backend server
     * @param load the load
     */
    synchronized void load(BackendServerState server, ReportedLoad load) {
        server.load(load, mClock.nanos());
    }

    /**
     * Counts a successful attempt.
     *
     * @param server the backend server
     */
    synchronized void succeeded(BackendServerState server) {
        server.end();
        server.failures().succeeded();
    }

    /**
     * Counts an attempt whose end does not indicate success or failure of the backend server.
     *
     * @param server the backend server
     */
    synchronized void ended(BackendServerState server) {
        server.end();
    }

    /**
     * Counts a failed attempt.
     *
     * @param server the backend server
     * @param service its service
     * @param failure the kind of failure
     */
    synchronized void failed(BackendServerState server, Service service, BackendFailure failure) {
        long now = mClock.nanos();
        server.end();
        if (failure == BackendFailure.HELD_BACK) {
            return;
        }
        server.failures().failed(failure == BackendFailure.NOT_SENT, now);
        if (failure == BackendFailure.NOT_SENT || failure.mayBeCrash()) {
            server.coldFor(service.coldMillis(), now);
        }
    }

    /**
     * Counts the first attempt of a request.
     *
     * @param request the request
     */
    synchronized void firstTry(GatewayRequest request) {
        mBudgets.firstTry(request.service().name(), mClock.nanos());
    }

    /**
     * Takes one retry from the retry budget.
     *
     * @param request the request
     * @return true if the budget allows the retry
     */
    synchronized boolean tryRetry(GatewayRequest request) {
        return mBudgets.take(request.service().name(), mShares.vms(), mClock.nanos());
    }

    /**
     * Tells whether a backend server may get new work for a request.
     *
     * @param state the backend server
     * @param request the request
     * @return true if it belongs to the service, is in service and not draining
     */
    private boolean present(BackendServerState state, GatewayRequest request) {
        ServerEntry entry = state.entry();
        return entry.service().equals(request.service().name())
                && !entry.draining()
                && !mOutOfService.contains(entry.failureDomain());
    }

    /**
     * Tells whether all slots of a backend server are occupied.
     *
     * @param state the backend server
     * @param nowNanos the local monotonic time
     * @return true if at least as many requests run and wait there as it has slots
     */
    private boolean full(BackendServerState state, long nowNanos) {
        int slots = state.entry().slots();
        return slots > 0 && state.occupied(mPeerLoads, nowNanos) >= slots;
    }

    /**
     * Selects backend servers.
     *
     * @param condition accepts the servers to select
     * @return the selected ones in the order of their ids
     */
    private List<BackendServerState> select(Predicate<BackendServerState> condition) {
        List<BackendServerState> selected = new ArrayList<>();
        for (BackendServerState state : mServers.values()) {
            if (condition.test(state)) {
                selected.add(state);
            }
        }
        return selected;
    }
}
