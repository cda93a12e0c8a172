package org.magnoliaseam.route;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Named;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.client.HttpClient;
import org.magnoliaseam.backend.LoadListener;
import org.magnoliaseam.backend.LoadPoller;
import org.magnoliaseam.fleet.LoadReport;
import org.magnoliaseam.fleet.Member;
import org.magnoliaseam.fleet.MemberList;
import org.magnoliaseam.fleet.ServerView;
import org.magnoliaseam.leaving.ShutdownPhase;
import org.magnoliaseam.leaving.ShutdownSequence;
import org.magnoliaseam.membership.FanOut;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.settings.BackendServer;
import org.magnoliaseam.settings.LocalSettings;
import org.magnoliaseam.settings.PeerAddress;
import org.magnoliaseam.time.MonotonicClock;

/** Starts a router process, runs its periodic tasks, and stops it without interrupting requests. */
@Singleton
public final class RouteProcess {

    /** The interval between two updates of the dispatcher in milliseconds. */
    private static final long TICK_MILLIS = 25;

    /** The interval between two heartbeats in milliseconds. */
    private static final long HEARTBEAT_MILLIS = 400;

    /** The interval between two evictions of old tickets in milliseconds. */
    private static final long EVICT_MILLIS = 1000;

    /** The interval between two checks for remaining work at shutdown, in milliseconds. */
    private static final long DRAIN_CHECK_MILLIS = 50;

    /** The maximum number of peers to which one process holds connections in a large fleet. */
    private static final int MAX_PEERS = 20;

    /** Chooses the peers to which the process holds connections. */
    private static final FanOut FAN_OUT = new FanOut(MAX_PEERS);

    /** The log. */
    private static final Logger LOG = LogManager.getLogger("route");

    /** The settings of the process. */
    private final LocalSettings mSettings;

    /** The components that are started and stopped. */
    private final RouteParts mParts;

    /** The timers. */
    private final ScheduledExecutorService mTimers;

    /** The clock. */
    private final MonotonicClock mClock;

    /** Reads load reports. */
    private final LoadPoller mPoller;

    /** Counted down when the process has stopped. */
    private final CountDownLatch mStopped = new CountDownLatch(1);

    /**
     * Creates a process.
     *
     * @param settings the settings of the process
     * @param parts the components that are started and stopped
     * @param timers the timers
     * @param client the HTTP client for load reports
     * @param clock the clock
     */
    @Inject
    public RouteProcess(
            LocalSettings settings,
            RouteParts parts,
            ScheduledExecutorService timers,
            @Named("pooled") HttpClient client,
            MonotonicClock clock) {
        mSettings = settings;
        mParts = parts;
        mTimers = timers;
        mClock = clock;
        mPoller = new LoadPoller(client, clock, loadListener(parts.fleet()));
    }

    /**
     * Starts all components.
     *
     * @throws Exception if a port cannot be opened or a client cannot be started
     */
    public void start() throws Exception {
        mParts.startClients();
        mParts.peers().start();
        mParts.peers().connectTo(mSettings.peers());
        mParts.startServers();
        mParts.watches().start();
        schedule(TICK_MILLIS, this::tick);
        schedule(HEARTBEAT_MILLIS, this::heartbeat);
        schedule(LoadPoller.INTERVAL_MILLIS, this::poll);
        schedule(EVICT_MILLIS, mParts.tickets()::evict);
        LOG.info(
                "route: started, vm={} callers={} operators={} peers={}",
                mSettings.vm(),
                mSettings.callersAddress(),
                mSettings.operatorsAddress(),
                mSettings.peersAddress());
    }

    /**
     * Waits until the process has stopped.
     *
     * @throws InterruptedException if the wait is interrupted
     */
    public void await() throws InterruptedException {
        mStopped.await();
    }

    /**
     * Stops the process without interrupting a request: reports that it is not ready, waits until
     * the load balancer has reacted, accepts no new work, and waits until tickets have expired and
     * requests have ended.
     */
    public void stop() {
        try {
            ShutdownSequence sequence = new ShutdownSequence(mSettings.balancerGrace());
            mParts.state().stopping();
            sequence.begin(mClock.nanos());
            ShutdownPhase phase = ShutdownPhase.SERVING;
            while (phase != ShutdownPhase.EXIT) {
                ShutdownPhase next =
                        sequence.advance(
                                mParts.tickets().allExpired(),
                                mParts.flow().active(),
                                mClock.nanos());
                if (next != phase) {
                    enter(next);
                    phase = next;
                }
                TimeUnit.MILLISECONDS.sleep(DRAIN_CHECK_MILLIS);
            }
            mParts.watches().stop();
            mTimers.shutdown();
            mParts.stopAll();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            mStopped.countDown();
        }
    }

    /**
     * Enters a phase of the shutdown.
     *
     * @param phase the phase
     */
    private void enter(ShutdownPhase phase) {
        LOG.info("route: stopping, phase={}", phase);
        if (!phase.issuesTickets()) {
            mParts.tickets().leave();
        }
        if (!phase.takesNewWork()) {
            mParts.fleet().leave();
        }
    }

    /**
     * Updates the dispatcher with a new fleet snapshot and requests a newer configuration from a
     * peer if one is needed.
     */
    private void tick() {
        mParts.fleet().tick().ifPresent(mParts.loop()::update);
        mParts.flow().tick();
        mParts.loop().tick();
        mParts.configuration()
                .nextRequest()
                .ifPresent(
                        request ->
                                mParts.peers()
                                        .requestConfiguration(request.peer(), request.newerThan()));
    }

    /** Sends a heartbeat and maintains the connections to the peers in the VM list. */
    private void heartbeat() {
        mParts.fleet().members().ifPresent(this::connect);
        mParts.watches().followPeers();
        mParts.peers().broadcast(mParts.state().summary());
    }

    /** Reads the load reports of the backend servers. */
    private void poll() {
        List<BackendServer> servers = new ArrayList<>();
        mParts.fleet()
                .view()
                .ifPresent(
                        view ->
                                view.servers().values().stream()
                                        .map(ServerView::server)
                                        .forEach(servers::add));
        mPoller.poll(servers);
    }

    /**
     * Maintains connections to the peers in a list and in the settings.
     *
     * @param list the list
     */
    private void connect(MemberList list) {
        List<PeerAddress> members = addresses(list.members());
        List<PeerAddress> peers = addresses(FAN_OUT.peers(list, mSettings.vm()));
        for (PeerAddress known : mSettings.peers()) {
            boolean listed = members.stream().anyMatch(member -> member.vm().equals(known.vm()));
            if (!listed) {
                peers.add(known);
            }
        }
        mParts.peers().allowDialling(members);
        mParts.peers().connectTo(peers);
    }

    /**
     * Converts members to the addresses of their peer ports.
     *
     * @param members the members
     * @return the addresses without the one of this process
     */
    private List<PeerAddress> addresses(List<Member> members) {
        List<PeerAddress> addresses = new ArrayList<>();
        for (Member member : members) {
            if (!member.vm().equals(mSettings.vm())) {
                addresses.add(new PeerAddress(member.vm(), member.peerAddress()));
            }
        }
        return addresses;
    }

    /**
     * Schedules a periodic task; a failure is logged and does not prevent later runs.
     *
     * @param millis the interval in milliseconds
     * @param task the task
     */
    private void schedule(long millis, Runnable task) {
        Runnable guarded =
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException | Error e) {
                        LOG.error("route: a periodic task failed", e);
                    }
                };
        mTimers.scheduleWithFixedDelay(guarded, 0, millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Creates the listener for load reports.
     *
     * @param fleet the local view of the fleet
     * @return the listener
     */
    private static LoadListener loadListener(FleetTracker fleet) {
        return new LoadListener() {
            @Override
            public void reported(BackendServerId id, LoadReport report) {
                fleet.report(id, report);
            }

            @Override
            public void unreachable(BackendServerId id) {
                fleet.unreachable(id);
            }
        };
    }
}
