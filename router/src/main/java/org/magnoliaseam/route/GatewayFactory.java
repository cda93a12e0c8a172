package org.magnoliaseam.route;

import java.util.concurrent.Executors;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.magnoliaseam.caller.ObservedConnectionFactory;
import org.magnoliaseam.gateway.Gateway;
import org.magnoliaseam.gateway.GatewayParts;
import org.magnoliaseam.gateway.Publication;
import org.magnoliaseam.gateway.RequestLog;
import org.magnoliaseam.gateway.ServerBoard;
import org.magnoliaseam.gateway.StopState;
import org.magnoliaseam.gossip.GossipNode;
import org.magnoliaseam.platform.CallerProtocol;
import org.magnoliaseam.platform.PlatformFeed;
import org.magnoliaseam.platform.ServerProtocol;
import org.magnoliaseam.settings.StoreSettings;
import org.magnoliaseam.time.MonotonicClock;

/** Puts a process together whose site a metadata store publishes. */
final class GatewayFactory {

    /** The threads of the process for connections. */
    private static final int MAX_THREADS = 24;

    /** The threads that are kept. */
    private static final int MIN_THREADS = 4;

    /** The time limit for connecting to a backend server in milliseconds. */
    private static final long CONNECT_MILLIS = 250;

    /** The time after which an unused connection to a backend server is closed, in milliseconds. */
    private static final long IDLE_MILLIS = 2500;

    /** The settings at the start. */
    private final StoreSettings mSettings;

    /** The settings in force. */
    private final SettingsReload mReload;

    /** The clock. */
    private final MonotonicClock mClock = System::nanoTime;

    /** How far a planned stop has come. */
    private final StopState mShutdown = new StopState();

    /** The connections of callers. */
    private final ObservedConnectionFactory mConnections;

    /** The threads for connections. */
    private final QueuedThreadPool mThreads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);

    /**
     * Creates a factory.
     *
     * @param reload the settings of the process
     */
    GatewayFactory(SettingsReload reload) {
        mReload = reload;
        mSettings = reload.get();
        HttpConfiguration limits = HttpFactory.limits();
        limits.setUriCompliance(UriCompliance.UNSAFE);
        limits.setSendDateHeader(false);
        mConnections = new ObservedConnectionFactory(limits);
        mThreads.setName("http");
        mThreads.setDaemon(true);
    }

    /**
     * Creates the process.
     *
     * @return the process, not yet started
     */
    GatewayProcess process() {
        Publication publication = new Publication(mClock);
        ServerBoard board =
                new ServerBoard(
                        mSettings.failureDomain(), () -> mReload.get().retryRatio(), mClock);
        HttpClient client = client();
        ServerProtocol port = new ServerProtocol(client, mClock);
        Gateway gateway = new Gateway(new GatewayParts(board, port, new RequestLog(), mClock));
        PlatformFeed feed = new PlatformFeed(mSettings, client, publication, board);
        CallerProtocol callers = new CallerProtocol(publication, gateway, mShutdown, mClock);
        ReadinessHandler readiness =
                new ReadinessHandler(() -> feed.complete() && !mShutdown.leaving());
        return new GatewayProcess(
                mReload,
                server(callers, readiness),
                client,
                feed,
                new GossipNode(mSettings.peersAddress(), mSettings.seeds(), board, mClock),
                gateway,
                Executors.newSingleThreadScheduledExecutor(new NamedThreads("timer")),
                mShutdown,
                mConnections,
                mClock);
    }

    /**
     * Creates the client for backend servers and the store.
     *
     * @return the client, not yet started
     */
    private HttpClient client() {
        HttpClient client = HttpFactory.client("backend");
        client.setExecutor(mThreads);
        client.setConnectTimeout(CONNECT_MILLIS);
        client.setIdleTimeout(IDLE_MILLIS);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.getContentDecoderFactories().clear();
        return client;
    }

    /**
     * Creates the ports.
     *
     * @param callers serves callers
     * @param readiness answers the balancer
     * @return the server, not yet started
     */
    private Server server(Handler callers, Handler readiness) {
        Server server = new Server(mThreads);
        server.addConnector(
                HttpFactory.connector(
                        server, PortHandler.CALLERS, mSettings.callersAddress(), mConnections));
        server.addConnector(
                HttpFactory.connector(
                        server,
                        PortHandler.READINESS,
                        mSettings.readinessAddress(),
                        new HttpConnectionFactory(HttpFactory.limits())));
        server.setHandler(new PortHandler(callers, readiness));
        return server;
    }
}
