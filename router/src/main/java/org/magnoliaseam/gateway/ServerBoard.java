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

/** Knows the backend servers and what runs there, and chooses one for each try. Thread-safe. */
public final class ServerBoard implements GossipListener {

    /** The time in which lapsed entries come back after an outage of the publisher. */
    private static final long RETURN_NANOS = 2_200_000_000L;

    /** Writes changes of what the process believes. */
    private static final Logger LOG = LogManager.getLogger("board");

    /** The backend servers that are published. */
    private final Map<BackendServerId, ServerState> mServers = new TreeMap<>();

    /** The failure domains that are out of service. */
    private final Set<FailureDomain> mOut = new HashSet<>();

    /** The retries of each service. */
    private final ServiceBudgets mBudgets;

    /** Ranks backend servers. */
    private final Placement mPlacement;

    /** What the other entry VMs have running. */
    private final ForeignLoads mForeign = new ForeignLoads();

    /** The prompt parts to tell the other entry VMs of. */
    private final RecentReads mReads = new RecentReads();

    /** The clock. */
    private final MonotonicClock mClock;

    /** The backend servers whose entries lapsed during an outage of the publisher. */
    private final Set<BackendServerId> mLapsed = new HashSet<>();

    /** The local monotonic time up to which lapsed entries may come back. */
    private long mReturnNanos;

    /** Divides limits that hold over all entry VMs. */
    private final VmShares mShares = new VmShares();

    /**
     * Creates a board without backend servers.
     *
     * @param ownDomain the failure domain of this entry VM
     * @param retries the bounds of retries
     * @param clock the clock
     */
    public ServerBoard(
            FailureDomain ownDomain, Supplier<RetryLimits> retries, MonotonicClock clock) {
        mPlacement = new Placement(ownDomain, mForeign);
        mBudgets = new ServiceBudgets(retries);
        mClock = clock;
        mReturnNanos = clock.nanos();
    }

    /**
     * Takes what is published about a backend server.
     *
     * @param entry the entry
     */
    public synchronized void published(ServerEntry entry) {
        mLapsed.remove(entry.id());
        ServerState known = mServers.get(entry.id());
        if (known == null) {
            mServers.put(entry.id(), new ServerState(entry, mClock.nanos()));
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
     * Notes that the publisher answers again after an outage. Entries that lapsed meanwhile come
     * back shortly if their backend servers live.
     */
    public synchronized void publisherReturned() {
        mReturnNanos = mClock.nanos() + RETURN_NANOS;
    }

    /**
     * Forgets a backend server that is no longer published; shortly after an outage of the
     * publisher only if it stays away.
     *
     * @param id the backend server
     */
    public synchronized void withdrawn(BackendServerId id) {
        ServerState state = mServers.get(id);
        boolean mayReturn = mClock.nanos() - mReturnNanos < 0;
        if (state != null && mayReturn && !state.entry().draining()) {
            mLapsed.add(id);
        } else if (mServers.remove(id) != null) {
            LOG.info("board: backend server gone, id={}", id);
        }
    }

    /** Forgets the backend servers that have not come back after an outage of the publisher. */
    private void endReturn() {
        if (!mLapsed.isEmpty() && mClock.nanos() - mReturnNanos >= 0) {
            List<BackendServerId> lapsed = List.copyOf(mLapsed);
            mLapsed.clear();
            lapsed.forEach(this::withdrawn);
        }
    }

    /**
     * Forgets all backend servers that a full list lacks.
     *
     * @param listed the backend servers in the list
     */
    public synchronized void retain(Set<BackendServerId> listed) {
        List<BackendServerId> missing = new ArrayList<>(mServers.keySet());
        missing.removeAll(listed);
        missing.forEach(this::withdrawn);
    }

    /**
     * Takes the failure domains that are out of service.
     *
     * @param out the failure domains that get no new work
     */
    public synchronized void outOfService(Collection<FailureDomain> out) {
        if (!mOut.equals(Set.copyOf(out))) {
            mOut.clear();
            mOut.addAll(out);
            LOG.info("board: failure domains out of service, domains={}", mOut);
        }
    }

    /**
     * Returns the number of backend servers.
     *
     * @return the number that is published
     */
    public synchronized int size() {
        return mServers.size();
    }

    @Override
    public synchronized List<ServerLoad> loads() {
        List<ServerLoad> loads = new ArrayList<>();
        for (ServerState state : mServers.values()) {
            if (state.running() > 0) {
                loads.add(new ServerLoad(state.id(), state.running(), state.pendingTokens()));
            }
        }
        return loads;
    }

    @Override
    public synchronized List<Demand> demands() {
        return mPlacement.demands(mClock.nanos());
    }

    @Override
    public synchronized List<PartRead> reads(int digests) {
        return mReads.next(digests);
    }

    @Override
    public synchronized void heard(PeerEndpoint peer, Digest digest) {
        mForeign.heard(peer, digest, mClock.nanos());
        for (PartRead read : digest.reads()) {
            ServerState state = mServers.get(read.server());
            if (state != null) {
                state.foreignRead(read.part(), read.tokens());
            }
        }
    }

    @Override
    public synchronized void members(Membership members) {
        mForeign.expire(mClock.nanos());
        endReturn();
        if (members.vms() != mShares.vms()) {
            LOG.info(
                    "board: entry VMs that share the limits, before={} now={}",
                    mShares.vms(),
                    members.vms());
        }
        mShares.members(members);
    }

    /**
     * Chooses a backend server for a try and counts the try.
     *
     * @param request the request
     * @param excluded the backend servers that it has met already
     * @return the choice
     */
    synchronized Choice choose(GatewayRequest request, Set<BackendServerId> excluded) {
        long now = mClock.nanos();
        List<ServerState> present = select(state -> present(state, request));
        if (present.isEmpty()) {
            return new Choice.Wait(ErrorKind.NO_BACKEND_SERVER);
        }
        List<ServerState> open = new ArrayList<>();
        for (ServerState state : present) {
            boolean fresh = !excluded.contains(state.id());
            if (fresh && state.bears(request.service(), mShares, now)) {
                open.add(state);
            }
        }
        List<ServerState> sound = new ArrayList<>(open);
        sound.removeIf(state -> state.failures().ejected(state.running(), now));
        List<ServerState> candidates = sound.isEmpty() ? open : sound;
        candidates.removeIf(state -> full(state, now));
        if (candidates.isEmpty()) {
            return new Choice.Wait(ErrorKind.OVERLOADED);
        }
        ServerState chosen = mPlacement.choose(request, present, candidates, now);
        String reason = mPlacement.describe(request, chosen, candidates.size(), now);
        boolean alone = chosen.waitingTokens(mForeign) == 0;
        long tokens = chosen.start(request, mShares, now);
        mPlacement.started(request, tokens, now);
        mReads.sent(chosen.id(), request.prompt());
        return new Choice.Start(chosen, tokens, alone, reason);
    }

    /**
     * Tells whether a backend server may still get a request right before its first byte leaves.
     *
     * @param order the try
     * @return true if it is published, in service and not leaving
     */
    synchronized boolean confirm(TryOrder order) {
        ServerState state = mServers.get(order.server().id());
        return state != null && present(state, order.request());
    }

    /**
     * Notes that the prompt of a try has been read.
     *
     * @param server the backend server
     * @param tokens the tokens that it had to read
     * @param millis the time since the try was sent, in milliseconds; 0 if it tells nothing
     */
    synchronized void read(ServerState server, long tokens, double millis) {
        server.read(tokens);
        server.measured(tokens, millis);
    }

    /**
     * Takes the load that a backend server states.
     *
     * @param server the backend server
     * @param load the load
     */
    synchronized void load(ServerState server, ReportedLoad load) {
        server.load(load, mClock.nanos());
    }

    /**
     * Counts a try that ended well.
     *
     * @param server the backend server
     */
    synchronized void succeeded(ServerState server) {
        server.end();
        server.failures().succeeded();
    }

    /**
     * Counts a try that ended without saying anything about the backend server.
     *
     * @param server the backend server
     */
    synchronized void ended(ServerState server) {
        server.end();
    }

    /**
     * Counts a failed try.
     *
     * @param server the backend server
     * @param service its service
     * @param failure the kind of failure
     */
    synchronized void failed(ServerState server, Service service, BackendFailure failure) {
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
     * Counts the first try of a request.
     *
     * @param request the request
     */
    synchronized void firstTry(GatewayRequest request) {
        mBudgets.firstTry(request.service().name(), mClock.nanos());
    }

    /**
     * Takes one more try out of the retry budget.
     *
     * @param request the request
     * @return true if the request may be tried again
     */
    synchronized boolean tryRetry(GatewayRequest request) {
        return mBudgets.take(request.service().name(), mShares.vms(), mClock.nanos());
    }

    /**
     * Tells whether a backend server may get new work for a request.
     *
     * @param state the backend server
     * @param request the request
     * @return true if it belongs to the service, is in service and not leaving
     */
    private boolean present(ServerState state, GatewayRequest request) {
        ServerEntry entry = state.entry();
        return entry.service().equals(request.service().name())
                && !entry.draining()
                && !mOut.contains(entry.failureDomain());
    }

    /**
     * Tells whether a backend server has no place for one more request.
     *
     * @param state the backend server
     * @param nowNanos the local monotonic time
     * @return true if as many requests run and wait there as it has slots
     */
    private boolean full(ServerState state, long nowNanos) {
        int slots = state.entry().slots();
        return slots > 0 && state.occupied(mForeign, nowNanos) >= slots;
    }

    /**
     * Selects backend servers.
     *
     * @param condition which ones
     * @return the selected ones in the order of their ids
     */
    private List<ServerState> select(Predicate<ServerState> condition) {
        List<ServerState> selected = new ArrayList<>();
        for (ServerState state : mServers.values()) {
            if (condition.test(state)) {
                selected.add(state);
            }
        }
        return selected;
    }
}
