package org.magnoliaseam.route;

import com.codahale.metrics.MetricRegistry;
import dagger.Module;
import dagger.Provides;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;
import javax.inject.Provider;
import javax.inject.Singleton;
import org.magnoliaseam.backend.BackendClient;
import org.magnoliaseam.burn.BurnRecorder;
import org.magnoliaseam.dispatch.Dispatchers;
import org.magnoliaseam.explain.RecordStore;
import org.magnoliaseam.peer.PeerNetwork;
import org.magnoliaseam.peer.PeerNode;
import org.magnoliaseam.settings.LocalSettings;
import org.magnoliaseam.settings.RouterTuning;
import org.magnoliaseam.settings.load.TomlConfigurationLoader;
import org.magnoliaseam.suspect.Fingerprinter;
import org.magnoliaseam.ticket.LedgerLimits;
import org.magnoliaseam.ticket.TicketCodec;
import org.magnoliaseam.ticket.TicketLedger;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Provides the components of a router process for dispatch decisions and for communication with
 * peers.
 */
@Module
final class RouteModule {

    /** The bounds of the ticket ledger. */
    private static final LedgerLimits LEDGER_LIMITS =
            new LedgerLimits(20_000, TicketAnswerSink.MAX_STORED_BYTES, 16L * 1024 * 1024, 60_000);

    /** The lifetime of tickets in milliseconds that applies before a configuration is in force. */
    private static final long DEFAULT_TICKET_TTL_MILLIS = 20_000;

    /**
     * The period in milliseconds for which a crashing request is refused, applied before a
     * configuration is in force.
     */
    private static final long DEFAULT_SUSPECT_TTL_MILLIS = 60_000;

    /** The number of threads of the timers. */
    private static final int TIMER_THREADS = 2;

    /** Prevents instances; every provider is static. */
    private RouteModule() {}

    /**
     * Provides the clock.
     *
     * @return the clock of the Java virtual machine
     */
    @Provides
    @Singleton
    static MonotonicClock clock() {
        return System::nanoTime;
    }

    /**
     * Provides the source of unpredictable random numbers.
     *
     * @return the source
     */
    @Provides
    @Singleton
    static SecureRandom random() {
        return new SecureRandom();
    }

    /**
     * Provides the identity of this process run.
     *
     * @param settings the settings of the process
     * @param random the source of the run identifier
     * @return the identity
     */
    @Provides
    @Singleton
    static ProcessIdentity identity(LocalSettings settings, SecureRandom random) {
        return new ProcessIdentity(settings.vm(), random);
    }

    /**
     * Provides the timers.
     *
     * @return the executor of periodic tasks
     */
    @Provides
    @Singleton
    static ScheduledExecutorService timers() {
        return Executors.newScheduledThreadPool(TIMER_THREADS, new NamedThreadFactory("timer"));
    }

    /**
     * Provides the metrics.
     *
     * @return the registry
     */
    @Provides
    @Singleton
    static MetricRegistry metrics() {
        return new MetricRegistry();
    }

    /**
     * Provides the tracker of the local view of the fleet.
     *
     * @param settings the settings of the process
     * @param clock the clock
     * @return the tracker
     */
    @Provides
    @Singleton
    static FleetTracker fleet(LocalSettings settings, MonotonicClock clock) {
        return new FleetTracker(settings.vm(), clock);
    }

    /**
     * Provides the configuration in force.
     *
     * @param random adds jitter to the requests to peers
     * @param clock the clock
     * @param fleet the local view of the fleet
     * @return the holder
     */
    @Provides
    @Singleton
    static ConfigurationHolder configuration(
            SecureRandom random, MonotonicClock clock, FleetTracker fleet) {
        return new ConfigurationHolder(
                new TomlConfigurationLoader("base", "overlay"),
                random,
                clock,
                fleet::configuration);
    }

    /**
     * Provides the dispatch loop.
     *
     * @param settings the settings of the process
     * @param identity the identity of this process run
     * @param clock the clock
     * @return the loop
     */
    @Provides
    @Singleton
    static DispatchLoop loop(
            LocalSettings settings, ProcessIdentity identity, MonotonicClock clock) {
        return new DispatchLoop(
                Dispatchers.create(settings.dispatchPolicy(), identity.incarnation().value()),
                clock,
                Executors.newSingleThreadExecutor(new NamedThreadFactory("dispatch")));
    }

    /**
     * Provides the guard that decides about attempts.
     *
     * @param fleet the local view of the fleet
     * @param crashes tracks the requests that were running at crashes
     * @param clock the clock
     * @return the guard
     */
    @Provides
    @Singleton
    static FleetAttemptGuard guard(FleetTracker fleet, CrashTracker crashes, MonotonicClock clock) {
        return new FleetAttemptGuard(fleet, crashes, clock);
    }

    /**
     * Provides the tracker of requests that were running at crashes.
     *
     * @param settings the settings of the process
     * @param configuration the configuration in force
     * @param clock the clock
     * @return the tracker
     */
    @Provides
    @Singleton
    static CrashTracker crashes(
            LocalSettings settings, ConfigurationHolder configuration, MonotonicClock clock) {
        return new CrashTracker(
                new Fingerprinter(secret(settings)),
                () -> millis(configuration, RouterTuning::suspectTtl, DEFAULT_SUSPECT_TTL_MILLIS),
                clock);
    }

    /**
     * Provides the store of decision records.
     *
     * @return the store
     */
    @Provides
    @Singleton
    static RecordStore records() {
        return new RecordStore();
    }

    /**
     * Provides the ticket service.
     *
     * @param settings the settings of the process
     * @param identity the identity of this process run
     * @param configuration the configuration in force
     * @param clock the clock
     * @return the service
     */
    @Provides
    @Singleton
    static TicketService tickets(
            LocalSettings settings,
            ProcessIdentity identity,
            ConfigurationHolder configuration,
            MonotonicClock clock) {
        return new TicketService(
                new TicketCodec(secret(settings)),
                new TicketLedger(settings.vm(), identity.incarnation(), LEDGER_LIMITS),
                () -> millis(configuration, RouterTuning::ticketTtl, DEFAULT_TICKET_TTL_MILLIS),
                clock);
    }

    /**
     * Provides the peer node.
     *
     * @param settings the settings of the process
     * @param identity the identity of this process run
     * @param gateway receives the messages of peers
     * @param clock the clock
     * @return the node
     */
    @Provides
    @Singleton
    static PeerNode peers(
            LocalSettings settings,
            ProcessIdentity identity,
            PeerGateway gateway,
            MonotonicClock clock) {
        ScheduledExecutorService timers =
                Executors.newSingleThreadScheduledExecutor(new NamedThreadFactory("peer-timer"));
        try {
            return new PeerNode(
                    settings.vm(),
                    identity.incarnation(),
                    settings.peersAddress(),
                    secret(settings),
                    gateway,
                    clock,
                    timers,
                    new NamedThreadFactory("peer"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Provides the network that sends to peers.
     *
     * @param node the node
     * @return the node
     */
    @Provides
    static PeerNetwork network(PeerNode node) {
        return node;
    }

    /**
     * Provides the gateway for messages of peers.
     *
     * @param fleet the local view of the fleet
     * @param configuration the configuration in force
     * @param guard records the attempts and crashes that peers report
     * @param flow runs requests
     * @param queries answers operator queries from peers
     * @return the gateway
     */
    @Provides
    @Singleton
    static PeerGateway gateway(
            FleetTracker fleet,
            ConfigurationHolder configuration,
            FleetAttemptGuard guard,
            Provider<RequestFlow> flow,
            PeerQueryHandler queries) {
        return new PeerGateway(fleet, configuration, guard, flow::get, queries);
    }

    /**
     * Provides the dependencies that all requests share.
     *
     * @param settings the settings of the process
     * @param loop the dispatcher
     * @param backend sends to backend servers
     * @param peers sends to peers
     * @param guard decides about attempts and records their outcomes
     * @param records receives decision records
     * @param clock the clock
     * @return the dependencies
     */
    @Provides
    @Singleton
    static RequestParts parts(
            LocalSettings settings,
            DispatchLoop loop,
            BackendClient backend,
            PeerNetwork peers,
            FleetAttemptGuard guard,
            RecordPipeline records,
            MonotonicClock clock) {
        return new RequestParts(settings.vm(), loop, backend, peers, guard, records, clock);
    }

    /**
     * Provides the flow of requests.
     *
     * @param parts the dependencies that all requests share
     * @param tickets issues and validates tickets
     * @param configuration the configuration in force
     * @param fleet the local view of the fleet
     * @return the flow
     */
    @Provides
    @Singleton
    static RequestFlow flow(
            RequestParts parts,
            TicketService tickets,
            ConfigurationHolder configuration,
            FleetTracker fleet) {
        return new RequestFlow(
                parts, tickets, configuration::inForce, fleet::leaving, System::currentTimeMillis);
    }

    /**
     * Provides the pipeline for decision records.
     *
     * @param store keeps records
     * @param burn counts requests for the report on service-level burn
     * @param metrics the metrics
     * @return the pipeline
     */
    @Provides
    @Singleton
    static RecordPipeline pipeline(RecordStore store, BurnRecorder burn, MetricRegistry metrics) {
        return new RecordPipeline(store, burn, metrics);
    }

    /**
     * Reads the secret that all entry VMs share.
     *
     * @param settings the settings of the process
     * @return the bytes of the file
     */
    private static byte[] secret(LocalSettings settings) {
        try {
            return Files.readAllBytes(Path.of(settings.peerSecretFile()));
        } catch (IOException e) {
            throw new UncheckedIOException("The peer secret file cannot be read.", e);
        }
    }

    /**
     * Reads a time from the configuration in force.
     *
     * @param configuration the configuration in force
     * @param time selects the time
     * @param fallback the time that applies before a configuration is in force, in milliseconds
     * @return the time in milliseconds
     */
    private static long millis(
            ConfigurationHolder configuration,
            Function<RouterTuning, Duration> time,
            long fallback) {
        return configuration
                .inForce()
                .map(inForce -> time.apply(inForce.configuration().tuning()).toMillis())
                .orElse(fallback);
    }
}
