package org.magnoliaseam.route;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.Executors;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.magnoliaseam.caller.ConnectionNotices;
import org.magnoliaseam.caller.ObservedConnectionFactory;
import org.magnoliaseam.caller.UnansweredEnd;
import org.magnoliaseam.catalog.Catalog;
import org.magnoliaseam.failure.FailureLog;
import org.magnoliaseam.gateway.CrashLog;
import org.magnoliaseam.gateway.CurrentCatalog;
import org.magnoliaseam.gateway.Gateway;
import org.magnoliaseam.gateway.GatewayParts;
import org.magnoliaseam.gateway.PoolGossip;
import org.magnoliaseam.gateway.PublishedRevision;
import org.magnoliaseam.gateway.RequestLog;
import org.magnoliaseam.gateway.RetryLimits;
import org.magnoliaseam.gateway.ServerNotices;
import org.magnoliaseam.gateway.ServerPool;
import org.magnoliaseam.gateway.ShutdownState;
import org.magnoliaseam.gateway.SpeedLog;
import org.magnoliaseam.gossip.GossipNode;
import org.magnoliaseam.operator.MetricsPage;
import org.magnoliaseam.operator.OperatorHandler;
import org.magnoliaseam.permit.EnginePermits;
import org.magnoliaseam.permit.PermitDatagrams;
import org.magnoliaseam.platform.CallerProtocol;
import org.magnoliaseam.platform.PlatformFeed;
import org.magnoliaseam.platform.ServerProtocol;
import org.magnoliaseam.settings.StoreSettings;
import org.magnoliaseam.time.MonotonicClock;

/** Creates the gateway process of an entry VM whose site is published by a metadata store. */
final class GatewayFactory {

    /** The maximum number of threads for connections. */
    private static final int MAX_THREADS = 24;

    /** The minimum number of threads for connections. */
    private static final int MIN_THREADS = 4;

    /** The time limit for connecting to a backend server in milliseconds. */
    private static final long CONNECT_MILLIS = 250;

    /** The time after which an unused connection to a backend server is closed, in milliseconds. */
    private static final long IDLE_MILLIS = 2500;

    /** The settings at the start. */
    private final StoreSettings mSettings;

    /** The settings in force. */
    private final SettingsReloader mReload;

    /** The clock. */
    private final MonotonicClock mClock = System::nanoTime;

    /** The progress of a planned stop. */
    private final ShutdownState mShutdown = new ShutdownState();

    /** The connections of callers. */
    private final ObservedConnectionFactory mConnections;

    /** The threads for connections. */
    private final QueuedThreadPool mThreads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);

    /**
     * Creates a factory.
     *
     * @param reload reloads the settings of the process
     */
    GatewayFactory(SettingsReloader reload) {
        mReload = reload;
        mSettings = reload.get();
        HttpConfiguration limits = HttpFactory.limits();
        limits.setUriCompliance(UriCompliance.UNSAFE);
        limits.setSendDateHeader(false);
        mConnections =
                new ObservedConnectionFactory(limits, CallerProtocol.RECEIVE_LIMIT_MILLIS, mClock);
        mThreads.setName("http");
        mThreads.setDaemon(true);
    }

    /**
     * Creates the process.
     *
     * @return the process, not yet started
     */
    GatewayProcess process() {
        CurrentCatalog currentCatalog = new CurrentCatalog(mSettings.storeContactLimit(), mClock);
        mConnections.idleTime(
                () -> currentCatalog.catalog().map(now -> now.limits().idleMillis()).orElse(0L));
        ServerPool pool =
                new ServerPool(mSettings.failureDomain(), () -> retryLimits(mReload.get()), mClock);
        pool.spillover().crossingCost(() -> mReload.get().crossingCost());
        HttpClient client = client();
        ServerProtocol serverProtocol = new ServerProtocol(client, mClock);
        MetricRegistry metrics = new MetricRegistry();
        RequestLog log =
                new RequestLog(metrics, () -> currentCatalog.catalog().map(Catalog::version));
        FailureLog failures = new FailureLog(metrics, mClock);
        PublishedRevision published = new PublishedRevision();
        GossipNode gossip =
                new GossipNode(
                        mSettings.peersAddress(),
                        mSettings.seeds(),
                        new PoolGossip(pool, published),
                        failures,
                        mClock);
        pool.crashes().observe(gossip::hurry);
        GatewayParts parts =
                new GatewayParts(
                        pool, serverProtocol, new PermitDatagrams(gossip), log, failures, mClock);
        Gateway gateway = new Gateway(parts);
        gauges(metrics, currentCatalog, published, pool, gateway);
        gauges(metrics, parts.permits(), mConnections.notices());
        PlatformFeed feed = feed(client, currentCatalog, pool, published);
        feed.register(metrics);
        CallerProtocol callers = new CallerProtocol(currentCatalog, gateway, mShutdown, mClock);
        ReadinessHandler readiness =
                new ReadinessHandler(() -> feed.complete() && !mShutdown.leaving());
        return new GatewayProcess(
                mReload,
                server(
                        Map.of(
                                PortHandler.CALLERS,
                                callers,
                                PortHandler.READINESS,
                                readiness,
                                PortHandler.OPERATORS,
                                new OperatorHandler(Map.of("metrics", new MetricsPage(metrics))))),
                client,
                feed,
                gossip,
                PermitDatagrams.receiver(parts.permits()),
                gateway,
                Executors.newSingleThreadScheduledExecutor(new NamedThreadFactory("timer")),
                mShutdown,
                mConnections,
                failures,
                mClock);
    }

    /**
     * Creates the reader of the metadata store.
     *
     * @param client the client for the store
     * @param currentCatalog receives the configuration
     * @param pool receives the backend servers
     * @param published receives the revisions of changes
     * @return the reader, not yet started
     */
    private PlatformFeed feed(
            HttpClient client,
            CurrentCatalog currentCatalog,
            ServerPool pool,
            PublishedRevision published) {
        return new PlatformFeed(
                mSettings, client, currentCatalog, pool.publishedServers(), published, mClock);
    }

    /**
     * Returns the limits for retries.
     *
     * @param settings the settings in force
     * @return the limits
     */
    private static RetryLimits retryLimits(StoreSettings settings) {
        return new RetryLimits(settings.retryRatio(), settings.retrySlack());
    }

    /**
     * Creates the client for backend servers and the store.
     *
     * @return the client, not yet started
     */
    private HttpClient client() {
        HttpClient client = HttpFactory.pooledClient();
        client.setExecutor(mThreads);
        client.setConnectTimeout(CONNECT_MILLIS);
        client.setIdleTimeout(IDLE_MILLIS);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        return client;
    }

    /**
     * Registers the gauges of the settings file, of the slots that homes of engines count, and of
     * the connections of callers that ended without an answer.
     *
     * @param metrics the registry for the gauges
     * @param permits the permits that this process holds and grants
     * @param notices the notices of the connections
     */
    private void gauges(MetricRegistry metrics, EnginePermits permits, ConnectionNotices notices) {
        metrics.registerGauge("settings.refused", mReload::refused);
        metrics.registerGauge("gateway.slots.held", permits::heldSlots);
        metrics.registerGauge("gateway.slots.used", permits::usedSlots);
        metrics.registerGauge("gateway.slots.reserved", permits::reservedSlots);
        metrics.registerGauge("gateway.slots.refused", permits::slotRefusals);
        for (UnansweredEnd reason : UnansweredEnd.values()) {
            metrics.registerGauge(
                    "callers.unanswered." + reason.text(), () -> notices.count(reason));
        }
    }

    /**
     * Registers the gauges of the process.
     *
     * @param metrics the registry for the gauges
     * @param currentCatalog the catalog in force
     * @param published the newest applied change of the publisher
     * @param pool the backend servers
     * @param gateway the requests in progress
     */
    private static void gauges(
            MetricRegistry metrics,
            CurrentCatalog currentCatalog,
            PublishedRevision published,
            ServerPool pool,
            Gateway gateway) {
        metrics.registerGauge(
                "gateway.catalog_version",
                () -> currentCatalog.catalog().map(Catalog::version).orElse(0L));
        metrics.registerGauge("gateway.catalog_fresh", () -> currentCatalog.fresh() ? 1 : 0);
        metrics.registerGauge("gateway.publisher_era", () -> published.newest().era());
        metrics.registerGauge("gateway.backend_servers", pool::size);
        metrics.registerGauge("gateway.active", gateway::active);
        metrics.registerGauge("gateway.overdue", gateway::overdue);
        metrics.registerGauge("gateway.choices", gateway::choices);
        ServerNotices notices = pool.notices();
        metrics.registerGauge("gateway.leaving.begun", notices::leavingBegun);
        metrics.registerGauge("gateway.leaving.ended", notices::leavingEnded);
        metrics.registerGauge("gateway.pushback.begun", notices::pushbackBegun);
        metrics.registerGauge("gateway.pushback.ended", notices::pushbackEnded);
        metrics.registerGauge("gateway.full.refused", notices::full);
        metrics.registerGauge("gateway.cache.fetches", notices::fetches);
        metrics.registerGauge("gateway.notices.faulty", notices::faulty);
        pool.spillover().counts().register(metrics);
        SpeedLog speeds = notices.speeds();
        metrics.registerGauge("gateway.speed.reports", speeds::reports);
        metrics.registerGauge("gateway.speed.contradictions", speeds::contradictions);
        metrics.register("gateway.speed.factor_percent", speeds.factors());
        CrashLog crashes = pool.crashes().log();
        metrics.registerGauge("gateway.crashes.seen", crashes::crashes);
        metrics.registerGauge("gateway.crashes.causes", crashes::causes);
        metrics.registerGauge("gateway.crashes.refused", crashes::refused);
        metrics.registerGauge("gateway.crashes.trials", crashes::trials);
    }

    /**
     * Creates the server with its ports.
     *
     * @param handlers the handlers by the name of their port
     * @return the server, not yet started
     */
    private Server server(Map<String, Handler> handlers) {
        Server server = new Server(mThreads);
        HttpConnectionFactory plain = new HttpConnectionFactory(HttpFactory.limits());
        add(server, PortHandler.CALLERS, mSettings.callersAddress(), mConnections);
        add(server, PortHandler.READINESS, mSettings.readinessAddress(), plain);
        add(server, PortHandler.OPERATORS, mSettings.operatorsAddress(), plain);
        server.setHandler(new PortHandler(handlers));
        return server;
    }

    /**
     * Adds a port.
     *
     * @param server the server
     * @param name the name of the port
     * @param address the address to listen on
     * @param connections creates connections
     */
    private static void add(
            Server server,
            String name,
            InetSocketAddress address,
            HttpConnectionFactory connections) {
        server.addConnector(HttpFactory.connector(server, name, address, connections));
    }
}
