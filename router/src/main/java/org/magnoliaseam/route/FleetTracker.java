package org.magnoliaseam.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.coldstart.ColdSendRight;
import org.magnoliaseam.coldstart.ColdSenderElection;
import org.magnoliaseam.coldstart.SlotDecision;
import org.magnoliaseam.fact.PauseDetector;
import org.magnoliaseam.fleet.FleetView;
import org.magnoliaseam.fleet.LoadReport;
import org.magnoliaseam.fleet.MemberList;
import org.magnoliaseam.fleet.PeerSummary;
import org.magnoliaseam.fleet.PeerView;
import org.magnoliaseam.fleet.ServerView;
import org.magnoliaseam.fleet.WarmServer;
import org.magnoliaseam.leaving.EntryVmService;
import org.magnoliaseam.leaving.ServiceState;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.BackendServer;
import org.magnoliaseam.settings.OutOfService;
import org.magnoliaseam.settings.VersionedConfiguration;
import org.magnoliaseam.share.ShareWindow;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Maintains the local view of the fleet and computes the snapshots on which dispatch decisions are
 * based. Thread-safe: one lock guards all state, and snapshots are immutable.
 */
public final class FleetTracker {

    /** The age at which the summary of a peer is discarded, in nanoseconds. */
    private static final long PEER_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    /**
     * The time after the start of the process during which no cold server can be taken over, in
     * nanoseconds.
     */
    private static final long SETTLING_NANOS =
            TimeUnit.MILLISECONDS.toNanos(
                    ColdSenderElection.TAKEOVER_WAIT_MILLIS
                            + ColdSenderElection.HEARD_LIMIT_MILLIS);

    /** This entry VM. */
    private final VmId mSelf;

    /** The clock. */
    private final MonotonicClock mClock;

    /** The local monotonic time at which the process started. */
    private final long mStartNanos;

    /** Detects pauses of this process. */
    private final PauseDetector mPauses;

    /** Decides whether this process may send to cold servers. */
    private final ColdSenderElection mElection;

    /** Computes the shares of this entry VM in the warm limits of the servers. */
    private final ShareWindow mShares;

    /** The backend servers by name. */
    private final Map<BackendServerId, TrackedServer> mServers = new TreeMap<>();

    /** The last summary of each peer. */
    private final Map<VmId, PeerView> mPeers = new HashMap<>();

    /** The configuration in force; null before the first. */
    private VersionedConfiguration mConfiguration;

    /** The list of entry VMs in force; null before the first. */
    private MemberList mMembers;

    /** Whether this process is shutting down and accepts no new work. */
    private boolean mLeaving;

    /** The last snapshot; null before the first configuration. */
    private volatile FleetView mView;

    /**
     * Creates a tracker without a configuration and without a list of entry VMs.
     *
     * @param self this entry VM
     * @param clock the clock
     */
    public FleetTracker(VmId self, MonotonicClock clock) {
        mSelf = self;
        mClock = clock;
        mStartNanos = clock.nanos();
        mPauses = new PauseDetector(mStartNanos);
        mElection = new ColdSenderElection(self, mPauses);
        mShares = new ShareWindow(self, mStartNanos);
    }

    /**
     * Applies a configuration and computes a snapshot with it.
     *
     * @param configuration the configuration
     */
    public synchronized void configuration(VersionedConfiguration configuration) {
        mConfiguration = configuration;
        Map<BackendServerId, BackendServer> servers =
                configuration.configuration().backendServers();
        mServers.keySet().retainAll(servers.keySet());
        for (BackendServer server : servers.values()) {
            mServers.computeIfAbsent(server.id(), id -> new TrackedServer(server, mClock.nanos()))
                    .configure(server);
        }
        tick();
    }

    /**
     * Applies a list of entry VMs; ignores it unless it is newer than the list in force.
     *
     * @param members the list
     */
    public synchronized void members(MemberList members) {
        if (mMembers == null || members.version() > mMembers.version()) {
            mMembers = members;
            mElection.update(members, mClock.nanos());
            mShares.update(members, mClock.nanos());
        }
    }

    /**
     * Records the summary in a heartbeat of a peer.
     *
     * @param summary the summary
     */
    public synchronized void heartbeat(PeerSummary summary) {
        long now = mClock.nanos();
        mPeers.put(summary.vm(), new PeerView(summary.vm(), summary, now));
        mElection.heard(summary.vm(), summary.memberListVersion(), now);
        for (WarmServer warm : summary.warmServers()) {
            TrackedServer tracked = mServers.get(warm.server());
            if (tracked != null) {
                tracked.coldStart().peerSaysWarm(warm, now);
            }
        }
    }

    /**
     * Records a load report.
     *
     * @param id the backend server
     * @param report the report
     */
    public synchronized void report(BackendServerId id, LoadReport report) {
        TrackedServer tracked = mServers.get(id);
        if (tracked != null) {
            tracked.report(report);
        }
    }

    /**
     * Records that a backend server refuses connections.
     *
     * @param id the backend server
     */
    public synchronized void unreachable(BackendServerId id) {
        TrackedServer tracked = mServers.get(id);
        if (tracked != null) {
            tracked.unreachable(mClock.nanos());
        }
    }

    /** Marks this process as accepting no new work. */
    public synchronized void leave() {
        mLeaving = true;
    }

    /**
     * Computes a snapshot of the current state; called several times within the pause limit, so
     * that pauses of the process are detected.
     *
     * @return the snapshot, or empty before the first configuration
     */
    public synchronized Optional<FleetView> tick() {
        long now = mClock.nanos();
        mPauses.tick(now);
        if (mConfiguration == null) {
            return Optional.empty();
        }
        mPeers.values().removeIf(peer -> now - peer.receivedNanos() > PEER_LIMIT_NANOS);
        Map<BackendServerId, ServerView> servers = new LinkedHashMap<>();
        for (TrackedServer tracked : mServers.values()) {
            if (mShares.uses(tracked.server())) {
                servers.put(tracked.server().id(), view(tracked, now));
            }
        }
        mView =
                new FleetView(
                        mConfiguration, servers, List.copyOf(mPeers.values()), mSelf, leaving());
        return Optional.of(mView);
    }

    /**
     * Checks whether the current state still permits an attempt before it is sent, and counts the
     * attempt if so.
     *
     * @param id the backend server
     * @return the settings of the server, or empty if the attempt must not be sent
     */
    public synchronized Optional<BackendServer> permit(BackendServerId id) {
        TrackedServer tracked = mServers.get(id);
        long now = mClock.nanos();
        if (tracked == null || !service(tracked, now).inService()) {
            return Optional.empty();
        }
        ColdSendRight right = mElection.right(tracked.server(), now);
        if (!tracked.coldStart().maySend(right, share(tracked, now), now)) {
            return Optional.empty();
        }
        tracked.coldStart().started(now);
        return Optional.of(tracked.server());
    }

    /**
     * Checks a permitted attempt again immediately before its first byte is sent.
     *
     * @param id the backend server
     * @return true if the server is still in service and, if it is cold, this VM still has the
     *     right to send to it
     */
    public synchronized boolean confirm(BackendServerId id) {
        TrackedServer tracked = mServers.get(id);
        long now = mClock.nanos();
        if (tracked == null || !service(tracked, now).inService()) {
            return false;
        }
        ColdSendRight right = mElection.right(tracked.server(), now);
        SlotDecision slots = tracked.coldStart().decide(right, share(tracked, now), now);
        return !slots.cold() || right.held();
    }

    /**
     * Updates the tracked state of a backend server.
     *
     * @param id the backend server
     * @param change receives the tracked server, the current share and the local monotonic time
     */
    synchronized void change(BackendServerId id, ServerChange change) {
        TrackedServer tracked = mServers.get(id);
        if (tracked != null) {
            long now = mClock.nanos();
            change.apply(tracked, share(tracked, now), now);
        }
    }

    /**
     * Returns the backend servers that this process considers warm.
     *
     * @return the claims to send to the peers
     */
    public synchronized List<WarmServer> warmServers() {
        long now = mClock.nanos();
        List<WarmServer> warm = new ArrayList<>();
        for (TrackedServer tracked : mServers.values()) {
            tracked.coldStart().claim(share(tracked, now)).ifPresent(warm::add);
        }
        return warm;
    }

    /**
     * Returns the list of entry VMs in force.
     *
     * @return the list, or empty before the first
     */
    public synchronized Optional<MemberList> members() {
        return Optional.ofNullable(mMembers);
    }

    /**
     * Returns the summaries of the peers heard from recently.
     *
     * @return the summaries
     */
    public synchronized List<PeerView> peers() {
        return List.copyOf(mPeers.values());
    }

    /**
     * Returns the last snapshot without computing a new one.
     *
     * @return the snapshot, or empty before the first configuration
     */
    public Optional<FleetView> view() {
        return Optional.ofNullable(mView);
    }

    /**
     * Returns whether this process has run long enough to serve requests: it may send to warm
     * servers only after the lag of the VM list, and to cold servers only after the takeover wait.
     * Without a VM list it sends to no server itself and hands requests over to ready peers.
     *
     * @return true if both times have passed; without a VM list, if the takeover wait has passed
     *     and a peer is ready
     */
    public synchronized boolean settled() {
        if (mConfiguration == null) {
            return false;
        }
        if (mMembers == null) {
            return mClock.nanos() - mStartNanos > SETTLING_NANOS && anyPeerReady();
        }
        long lag = mConfiguration.configuration().tuning().vmListLag().toNanos();
        return mClock.nanos() - mStartNanos > Math.max(lag, SETTLING_NANOS);
    }

    /**
     * Returns whether a peer accepts requests.
     *
     * @return true if a peer heard from recently is ready
     */
    private boolean anyPeerReady() {
        return mPeers.values().stream().anyMatch(peer -> peer.summary().ready());
    }

    /**
     * Returns the number of pauses of this process.
     *
     * @return the number of pauses since the start
     */
    public synchronized long pauses() {
        return mPauses.pauses();
    }

    /**
     * Returns whether this process accepts no new work because it is shutting down, because
     * operators have taken it out of service, or because of its state in the VM list.
     *
     * @return true if it accepts none
     */
    public synchronized boolean leaving() {
        if (mLeaving) {
            return true;
        }
        if (mConfiguration == null || mMembers == null) {
            return false;
        }
        OutOfService out = mConfiguration.configuration().outOfService();
        return mMembers.members().stream()
                .filter(member -> member.vm().equals(mSelf))
                .anyMatch(member -> !EntryVmService.decide(member, out).inService());
    }

    /**
     * Computes the view of one backend server.
     *
     * @param tracked the server
     * @param now the local monotonic time
     * @return the view
     */
    private ServerView view(TrackedServer tracked, long now) {
        ServiceState service = service(tracked, now);
        ColdSendRight right = mElection.right(tracked.server(), now);
        SlotDecision slots = tracked.coldStart().decide(right, share(tracked, now), now);
        return new ServerView(
                tracked.server(),
                service.inService() ? slots.slots() : 0,
                slots.cold(),
                service.inService() ? slots.reason() : service.reason(),
                tracked.lastReport(),
                tracked.firstTokenMillis(),
                tracked.tokenMillis());
    }

    /**
     * Decides whether a backend server gets new work.
     *
     * @param tracked the server
     * @param now the local monotonic time
     * @return the decision
     */
    private ServiceState service(TrackedServer tracked, long now) {
        return tracked.service(mConfiguration.configuration().outOfService(), now);
    }

    /**
     * Computes the share of this entry VM in the warm limit of a server.
     *
     * @param tracked the backend server
     * @param now the local monotonic time
     * @return the number of requests that this VM may run at the same time on the server once it is
     *     warm
     */
    private int share(TrackedServer tracked, long now) {
        if (mConfiguration == null) {
            return 0;
        }
        return mShares.share(
                tracked.server(), mConfiguration.configuration().tuning().vmListLag(), now);
    }
}
