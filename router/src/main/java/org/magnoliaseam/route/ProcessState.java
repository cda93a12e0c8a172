package org.magnoliaseam.route;

import java.util.List;
import java.util.Optional;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.magnoliaseam.fleet.FleetView;
import org.magnoliaseam.fleet.Member;
import org.magnoliaseam.fleet.MemberList;
import org.magnoliaseam.fleet.MemberState;
import org.magnoliaseam.fleet.PeerSummary;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.operator.PageContent;
import org.magnoliaseam.operator.RouterStatus;
import org.magnoliaseam.settings.LocalSettings;

/** Computes the readiness of this process and its state for operators and peers. Thread-safe. */
@Singleton
public final class ProcessState {

    /** The settings of the process. */
    private final LocalSettings mSettings;

    /** The identity of this process run. */
    private final ProcessIdentity mIdentity;

    /** The local view of the fleet. */
    private final FleetTracker mFleet;

    /** The configuration in force. */
    private final ConfigurationHolder mConfiguration;

    /** The dispatcher. */
    private final DispatchLoop mLoop;

    /** Runs requests. */
    private final RequestFlow mFlow;

    /** Counts first attempts and retries. */
    private final FleetAttemptGuard mGuard;

    /** Tracks the requests that were running at crashes. */
    private final CrashTracker mCrashes;

    /** Whether the process is about to stop. */
    private volatile boolean mStopping;

    /** The number of the last heartbeat. */
    private long mSequence;

    /**
     * Creates the state.
     *
     * @param settings the settings of the process
     * @param identity the identity of this process run
     * @param fleet the local view of the fleet
     * @param configuration the configuration in force
     * @param loop the dispatcher
     * @param flow runs requests
     * @param guard counts first attempts and retries
     * @param crashes tracks the requests that were running at crashes
     */
    @Inject
    public ProcessState(
            LocalSettings settings,
            ProcessIdentity identity,
            FleetTracker fleet,
            ConfigurationHolder configuration,
            DispatchLoop loop,
            RequestFlow flow,
            FleetAttemptGuard guard,
            CrashTracker crashes) {
        mSettings = settings;
        mIdentity = identity;
        mFleet = fleet;
        mConfiguration = configuration;
        mLoop = loop;
        mFlow = flow;
        mGuard = guard;
        mCrashes = crashes;
    }

    /** Marks the process as about to stop, so that the load balancer sends no new requests. */
    public void stopping() {
        mStopping = true;
    }

    /**
     * Returns whether the process accepts new work.
     *
     * @return true if it has a configuration, has run long enough to use its share of the servers,
     *     and is not leaving
     */
    public boolean ready() {
        return !mStopping
                && mConfiguration.readiness(expectedPeers()).ready()
                && mFleet.settled()
                && !mFleet.leaving();
    }

    /**
     * Renders the readiness for the load balancer.
     *
     * @return the page
     */
    public PageContent readiness() {
        return ready() ? PageContent.plain("ready\n") : PageContent.unavailable("not ready\n");
    }

    /**
     * Creates the state for operators.
     *
     * @return the state
     */
    public RouterStatus status() {
        Optional<FleetView> view = mFleet.view();
        return new RouterStatus(
                mSettings.vm(),
                mIdentity.incarnation(),
                ready(),
                mStopping || mFleet.leaving(),
                mFlow.active(),
                mFleet.pauses(),
                view.map(known -> known.configuration().version()).orElse(0L),
                memberListVersion(),
                mLoop.pressure(),
                view);
    }

    /**
     * Creates the next heartbeat.
     *
     * @return the summary for the peers
     */
    public synchronized PeerSummary summary() {
        mSequence++;
        return new PeerSummary(
                mSettings.vm(),
                mIdentity.incarnation(),
                mSequence,
                mConfiguration.version(),
                memberListVersion(),
                ready(),
                mStopping || mFleet.leaving(),
                mLoop.pressure(),
                mLoop.room(),
                mFleet.warmServers(),
                mCrashes.notices(),
                mGuard.firstAttempts(),
                mGuard.retries());
    }

    /**
     * Returns the peers that should report their configuration versions before this process serves.
     *
     * @return the live peers of the VM list
     */
    private List<VmId> expectedPeers() {
        return mFleet.members().stream()
                .flatMap(list -> list.members().stream())
                .filter(member -> member.state() == MemberState.LIVE)
                .map(Member::vm)
                .filter(vm -> !vm.equals(mSettings.vm()))
                .toList();
    }

    /**
     * Returns the version of the VM list in force.
     *
     * @return the version; 0 if none
     */
    private long memberListVersion() {
        return mFleet.members().map(MemberList::version).orElse(0L);
    }
}
