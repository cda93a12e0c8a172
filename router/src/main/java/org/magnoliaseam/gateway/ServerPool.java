package org.magnoliaseam.gateway;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.gossip.Demand;
import org.magnoliaseam.gossip.Digest;
import org.magnoliaseam.gossip.Membership;
import org.magnoliaseam.gossip.PartRead;
import org.magnoliaseam.gossip.PeerEndpoint;
import org.magnoliaseam.gossip.ServerLoad;
import org.magnoliaseam.leaving.ServerIncarnation;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.spillover.SpillReason;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Tracks the published backend servers and their load, and selects one for each attempt.
 * Thread-safe.
 */
public final class ServerPool {

    /** The published backend servers. */
    private final ServerRegistry mServers;

    /** The retry budget of each service. */
    private final ServiceRetryBudgets mBudgets;

    /** Selects backend servers. */
    private final ServerSelector mSelector;

    /** The load of the other entry VMs at the backend servers. */
    private final PeerLoads mPeerLoads = new PeerLoads();

    /** The prompt parts to report to the other entry VMs. */
    private final RecentPromptParts mRecentParts = new RecentPromptParts();

    /** Logs and counts what backend servers state. */
    private final ServerNotices mNotices = new ServerNotices();

    /** Protects backend servers from requests that crash them. */
    private final CrashGuard mCrashes;

    /** The clock. */
    private final MonotonicClock mClock;

    /** Decides which requests leave the failure domain of this entry VM. */
    private final DomainSpillover mSpillover;

    /** Decides which backend servers have room. */
    private final ServerRoom mRoom = new ServerRoom(mPeerLoads);

    /** Divides limits that apply to all entry VMs together. */
    private final VmShares mShares = new VmShares();

    /** Finds the engines from which others fetch cached prompt parts. */
    private final CacheSources mCacheSources = new CacheSources(mShares);

    /** Asks the retry budgets for requests. */
    private final RequestRetries mRetries;

    /** Selects the backend servers that may run a request. */
    private final ServerCandidates mCandidates = new ServerCandidates(mRoom, mShares);

    /**
     * Creates a pool without backend servers.
     *
     * @param ownDomain the failure domain of this entry VM
     * @param retries the limits of retries
     * @param clock the clock
     */
    public ServerPool(
            FailureDomain ownDomain, Supplier<RetryLimits> retries, MonotonicClock clock) {
        mSelector = new ServerSelector(ownDomain, mPeerLoads, mShares);
        mBudgets = new ServiceRetryBudgets(retries);
        mRetries = new RequestRetries(this, mBudgets, mShares, clock);
        mSpillover = new DomainSpillover(ownDomain, mSelector, mPeerLoads, mShares, clock);
        mClock = clock;
        mCrashes = new CrashGuard(clock);
        mServers = new ServerRegistry(mNotices, clock.nanos());
    }

    /**
     * Returns the receiver of changes of the published backend servers.
     *
     * @return the receiver
     */
    public PublishedServers publishedServers() {
        return new PublishedServers(this, mServers, mClock);
    }

    /**
     * Returns the number of backend servers.
     *
     * @return the number of backend servers in the pool
     */
    public synchronized int size() {
        return mServers.all().size();
    }

    /**
     * Returns the load that this entry VM puts on backend servers.
     *
     * @return the loads that are not zero
     */
    synchronized List<ServerLoad> loads() {
        return mServers.loads();
    }

    /**
     * Returns the recent demand at this entry VM.
     *
     * @return the demands
     */
    synchronized List<Demand> demands() {
        return mSelector.demands(mClock.nanos());
    }

    /**
     * Returns the prompt parts that this entry VM has sent to backend servers lately.
     *
     * @param digests the number of digests that include each part
     * @return the parts
     */
    synchronized List<PartRead> reads(int digests) {
        return mRecentParts.next(digests);
    }

    /**
     * Returns the starts of backend servers that this entry VM has found to be leaving lately.
     *
     * @param digests the number of digests that include each
     * @return the starts of backend servers
     */
    synchronized List<ServerIncarnation> recentlyLeaving(int digests) {
        return mServers.recentlyLeaving(digests);
    }

    /**
     * Records the load of another entry VM, the prompt parts that it sent and the backend servers
     * that it found to be leaving.
     *
     * @param peer the entry VM
     * @param digest its digest
     */
    synchronized void heard(PeerEndpoint peer, Digest digest) {
        long now = mClock.nanos();
        mPeerLoads.heard(peer, digest, now);
        mCrashes.heard(digest.crashes());
        mServers.heard(digest.leaving(), digest.reads(), now);
        mSpillover.heard(peer, digest.domainDemands(), now);
    }

    /**
     * Sets the entry VMs that share limits; called periodically.
     *
     * @param members the entry VMs that may be alive
     */
    synchronized void members(Membership members) {
        mPeerLoads.expire(mClock.nanos());
        mServers.settle(mClock.nanos());
        mServers.endPushbacks(mClock.nanos());
        mShares.members(members);
        mCrashes.members(members);
        mSpillover.update(mServers, members.vms(), mClock.nanos());
    }

    /**
     * Selects a backend server for an attempt and counts the attempt.
     *
     * @param request the request
     * @param excluded the backend servers that get no further attempt of the request
     * @param patient whether the request may wait for its cheapest engine while others have room
     * @return the selected backend server, or the reason to wait
     */
    synchronized ServerChoice choose(
            GatewayRequest request, Set<BackendServerId> excluded, boolean patient) {
        long now = mClock.nanos();
        List<BackendServerState> present = mServers.inService(request.service().name());
        if (present.isEmpty()) {
            return new ServerChoice.Wait(ErrorKind.NO_BACKEND_SERVER, false, false, now, 0);
        }
        int pushedBack = ServerCandidates.pushedBack(present, now);
        List<BackendServerState> candidates = mCandidates.of(request, present, excluded, now);
        if (candidates.isEmpty()) {
            return ServerCandidates.noRoom(present, excluded, now);
        }
        if (mCrashes.guards(request)) {
            return chooseGuarded(request, candidates, now);
        }
        DomainSpillover.Restriction restriction =
                excluded.isEmpty()
                        ? mSpillover.restrict(request, present, candidates, now)
                        : DomainSpillover.Restriction.repeated(candidates);
        List<BackendServerState> allowed =
                mSelector.unreserved(request, present, restriction.candidates(), now);
        List<BackendServerState> free = ServerRoom.withRoom(request, allowed, now);
        if (free.isEmpty()) {
            return new ServerChoice.Wait(ErrorKind.OVERLOADED, false, false, now, pushedBack);
        }
        BackendServerState chosen = mSelector.choose(request, present, allowed, now);
        if (!ServerRoom.hasRoom(request, chosen, now)) {
            if (patient) {
                WantedServer wanted = new WantedServer(this, mServers, chosen, mClock);
                return ServerChoice.Wait.forServer(wanted, now, pushedBack);
            }
            chosen = mSelector.choose(request, present, free, now);
        }
        String reason =
                mSelector.describe(request, chosen, candidates.size(), now)
                        + (pushedBack > 0 ? " pushed_back=" + pushedBack : "")
                        + restriction.text();
        return start(request, chosen, false, restriction.reason(), reason, now);
    }

    /**
     * Selects a backend server that takes over a request whose attempt in progress is silent.
     *
     * @param request the request
     * @param excluded the backend servers that get no further attempt of the request
     * @return the selected backend server, or the reason why none can take it now
     */
    synchronized ServerChoice chooseSuccessor(
            GatewayRequest request, Set<BackendServerId> excluded) {
        List<BackendServerState> present = mServers.inService(request.service().name());
        long now = mClock.nanos();
        return choose(request, ServerCandidates.unfitAsSuccessors(present, excluded, now), false);
    }

    /**
     * Selects a backend server for a request that may crash it.
     *
     * @param request the request
     * @param candidates the backend servers that have a free slot
     * @param now the local monotonic time
     * @return the selected backend server, or the reason to wait
     */
    private ServerChoice chooseGuarded(
            GatewayRequest request, List<BackendServerState> candidates, long now) {
        List<BackendServerState> isolated = mCrashes.isolated(request, candidates, now);
        if (isolated.isEmpty()) {
            return new ServerChoice.Wait(ErrorKind.OVERLOADED, false, true, now, 0);
        }
        BackendServerState chosen = isolated.get(0);
        mCrashes.started(chosen.id(), request);
        String reason = mSelector.describe(request, chosen, isolated.size(), now) + " guarded=true";
        return start(request, chosen, true, Optional.empty(), reason, now);
    }

    /**
     * Counts an attempt that starts.
     *
     * @param request the request
     * @param chosen the selected backend server
     * @param guarded whether the request is kept from other guarded ones
     * @param domain why the failure domain, if that restricted the request
     * @param reason the inputs of the decision, for the log
     * @param now the local monotonic time
     * @return the selected backend server
     */
    private ServerChoice start(
            GatewayRequest request,
            BackendServerState chosen,
            boolean guarded,
            Optional<SpillReason> domain,
            String reason,
            long now) {
        boolean idle = chosen.waitingTokens(mPeerLoads, now) == 0;
        List<BackendServerState> present = mServers.inService(request.service().name());
        CacheSources.PromptWork work = mCacheSources.work(request, chosen, present, now);
        chosen.start(request, mShares, work.tokens(), now);
        return new ServerChoice.Start(
                chosen,
                chosen.entry(),
                work.tokens(),
                mRoom.limits(request, chosen, now),
                chosen.pushback().started(),
                idle && work.tokens() <= request.prompt().ownTokens(),
                guarded,
                work.source(),
                domain,
                reason + work.text());
    }

    /**
     * Returns the recorder for an attempt.
     *
     * @param start the selected backend server
     * @param request the request
     * @return the recorder
     */
    ServerFeedback feedback(ServerChoice.Start start, GatewayRequest request) {
        return new ServerFeedback(this, mServers, mSelector, mRecentParts, start, request, mClock);
    }

    /**
     * Returns the access to the retry budgets.
     *
     * @return the retries of requests
     */
    RequestRetries retries() {
        return mRetries;
    }

    /**
     * Returns the counts of what backend servers state.
     *
     * @return the counts
     */
    public ServerNotices notices() {
        return mNotices;
    }

    /**
     * Returns what decides which requests leave the failure domain of this entry VM.
     *
     * @return the decision
     */
    public DomainSpillover spillover() {
        return mSpillover;
    }

    /**
     * Returns what protects backend servers from requests that crash them.
     *
     * @return the guard
     */
    public CrashGuard crashes() {
        return mCrashes;
    }

    /**
     * Returns the published backend servers that are leaving.
     *
     * @return their entries
     */
    synchronized List<ServerEntry> leaving() {
        return mServers.leaving();
    }

    /**
     * Returns the decision of a request that finds no room.
     *
     * @param request the request
     * @return the decision to wait
     */
    synchronized ServerChoice.Wait noRoom(GatewayRequest request) {
        return ServerCandidates.noRoom(
                mServers.inService(request.service().name()), Set.of(), mClock.nanos());
    }

    /**
     * Returns the entry VMs that share limits.
     *
     * @return the membership
     */
    public synchronized Membership membership() {
        return mShares.members();
    }

    /**
     * Predicts the shortest time from a start to the first event or the answer of a request.
     *
     * @param request the request
     * @return the time in milliseconds
     */
    synchronized double fastestAnswerMillis(GatewayRequest request) {
        return ServerRoom.fastestAnswerMillis(
                request, mServers.inService(request.service().name()), mClock.nanos());
    }

    /**
     * Tells whether a backend server may still get a request; called right before its first byte.
     *
     * @param order the attempt
     * @return true if it is published, in service, not leaving and has not asked for no requests
     */
    synchronized boolean confirm(TryOrder order) {
        BackendServerState state = mServers.find(order.server().id());
        return state != null
                && mServers.isInService(state, order.request().service().name())
                && !state.pushback().isActive(mClock.nanos());
    }

    /**
     * Counts the first attempt of a request.
     *
     * @param request the request
     */
    synchronized void firstTry(GatewayRequest request) {
        long now = mClock.nanos();
        mBudgets.firstTry(request.service().name(), now);
        mRoom.arrived(request, now);
        mSpillover.arrived(request, now);
    }
}
