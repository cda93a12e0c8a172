package org.magnoliaseam.route;

import com.codahale.metrics.MetricRegistry;
import dagger.Module;
import dagger.Provides;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Stream;
import javax.inject.Named;
import javax.inject.Singleton;
import org.eclipse.jetty.server.Server;
import org.magnoliaseam.burn.BurnRecorder;
import org.magnoliaseam.explain.RecordStore;
import org.magnoliaseam.fleet.Member;
import org.magnoliaseam.fleet.PeerView;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.operator.BurnPage;
import org.magnoliaseam.operator.ExplainPage;
import org.magnoliaseam.operator.MetricsPage;
import org.magnoliaseam.operator.OperatorHandler;
import org.magnoliaseam.operator.OperatorPage;
import org.magnoliaseam.operator.PageContent;
import org.magnoliaseam.operator.StatusPage;
import org.magnoliaseam.peer.PeerNetwork;
import org.magnoliaseam.settings.Configuration;
import org.magnoliaseam.settings.LocalSettings;
import org.magnoliaseam.settings.PeerAddress;
import org.magnoliaseam.settings.VersionedConfiguration;
import org.magnoliaseam.time.MonotonicClock;

/** Provides the operator pages and the metrics of a router process. */
@Module
final class OperatorModule {

    /** The name of the server of the operators' port. */
    private static final String OPERATORS = "operators";

    /** Prevents instances; every provider is static. */
    private OperatorModule() {}

    /**
     * Provides the counts for the report on service-level burn.
     *
     * @param settings the settings of the process
     * @param configuration the configuration in force
     * @param clock the clock
     * @return the ledger
     */
    @Provides
    @Singleton
    static BurnRecorder burn(
            LocalSettings settings, ConfigurationHolder configuration, MonotonicClock clock) {
        return new BurnRecorder(settings.vm(), inForce(configuration), clock);
    }

    /**
     * Provides the handler for operator queries from peers.
     *
     * @param burn the counts
     * @param records the decision records
     * @return the handler
     */
    @Provides
    @Singleton
    static PeerQueryHandler queries(BurnRecorder burn, RecordStore records) {
        return new PeerQueryHandler(burn, records);
    }

    /**
     * Provides the client for operator queries to peers.
     *
     * @param settings the settings of the process
     * @param network sends to peers
     * @param fleet the local view of the fleet
     * @param identity creates the IDs of queries
     * @return the client
     */
    @Provides
    @Singleton
    static PeerQueryClient queryClient(
            LocalSettings settings,
            PeerNetwork network,
            FleetTracker fleet,
            ProcessIdentity identity) {
        return new PeerQueryClient(
                settings.vm(), network, () -> otherVms(fleet, settings), identity::nextRequestId);
    }

    /**
     * Provides the report on service-level burn.
     *
     * @param burn the counts
     * @param peers queries the peers
     * @param configuration the configuration in force
     * @return the page
     */
    @Provides
    @Singleton
    static BurnPage burnPage(
            BurnRecorder burn, PeerQueryClient peers, ConfigurationHolder configuration) {
        return new BurnPage(burn, peers, inForce(configuration));
    }

    /**
     * Provides the page that explains the handling of one request.
     *
     * @param records the decision records
     * @param peers queries the peers
     * @return the page
     */
    @Provides
    @Singleton
    static ExplainPage explainPage(RecordStore records, PeerQueryClient peers) {
        return new ExplainPage(records, peers);
    }

    /**
     * Provides the gauges of this process.
     *
     * @param metrics the metrics
     * @param state the state of the process
     * @param guard counts first attempts and retries
     * @param tickets counts tickets
     * @return the gauges
     */
    @Provides
    @Singleton
    static RouterGauges gauges(
            MetricRegistry metrics,
            ProcessState state,
            FleetAttemptGuard guard,
            TicketService tickets) {
        return new RouterGauges(
                metrics, state::status, guard::firstAttempts, guard::retries, tickets::size);
    }

    /**
     * Provides the server of the operators' port.
     *
     * @param settings the settings of the process
     * @param state the state of the process
     * @param metrics the metrics and their gauges
     * @param burn the report on service-level burn
     * @param explain the page that explains the handling of one request
     * @param clock the clock
     * @return the server
     */
    @Provides
    @Singleton
    @Named(OPERATORS)
    static Server operators(
            LocalSettings settings,
            ProcessState state,
            RouterGauges metrics,
            BurnPage burn,
            ExplainPage explain,
            MonotonicClock clock) {

        Map<String, OperatorPage> pages =
                Map.of(
                        "healthz",
                        (rest, query) -> PageContent.plain("ok\n"),
                        "readyz",
                        (rest, query) -> state.readiness(),
                        "status",
                        new StatusPage(state::status, clock),
                        "metrics",
                        new MetricsPage(metrics.registry()),
                        "burn",
                        burn,
                        "explain",
                        explain);
        return HttpFactory.server(
                OPERATORS, settings.operatorsAddress(), new OperatorHandler(pages));
    }

    /**
     * Creates a supplier of the configuration in force without its version.
     *
     * @param configuration holds the configuration in force
     * @return the supplier, which returns empty before the first configuration
     */
    private static Supplier<Optional<Configuration>> inForce(ConfigurationHolder configuration) {
        return () -> configuration.inForce().map(VersionedConfiguration::configuration);
    }

    /**
     * Lists the other entry VMs that the settings, the list in force or heartbeats contain.
     *
     * @param fleet the local view of the fleet
     * @param settings the settings of the process
     * @return the other entry VMs, live or leaving, sorted by name
     */
    private static List<VmId> otherVms(FleetTracker fleet, LocalSettings settings) {
        Stream<VmId> listed =
                fleet.members().stream().flatMap(list -> list.members().stream()).map(Member::vm);
        Stream<VmId> configured = settings.peers().stream().map(PeerAddress::vm);
        Stream<VmId> heard = fleet.peers().stream().map(PeerView::vm);
        return Stream.of(listed, configured, heard)
                .flatMap(names -> names)
                .filter(vm -> !vm.equals(settings.vm()))
                .distinct()
                .sorted(Comparator.comparing(VmId::value))
                .toList();
    }
}
