package org.magnoliaseam.route;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.magnoliaseam.backend.BackendConnector;
import org.magnoliaseam.backend.BackendTransport;
import org.magnoliaseam.caller.ObservedConnectionFactory;
import org.magnoliaseam.time.MonotonicClock;

/** Creates the HTTP servers and clients with their limits. */
final class HttpFactory {

    /** The maximum number of threads of a server. */
    private static final int SERVER_THREADS = 32;

    /** The maximum number of threads of a client. */
    private static final int CLIENT_THREADS = 16;

    /** The time limit for connecting to a backend server in milliseconds. */
    private static final long CONNECT_TIMEOUT_MILLIS = 1000;

    /**
     * The time after which an idle connection is closed, in milliseconds. Connections of callers
     * stay open for the published idle time if that is longer.
     */
    private static final long IDLE_TIMEOUT_MILLIS = TimeUnit.SECONDS.toMillis(60);

    /** The maximum size of a request header in bytes. */
    private static final int MAX_HEADER_BYTES = 16 * 1024;

    /** The maximum size of the fields that the router adds to a request header, in bytes. */
    private static final int ADDED_HEADER_BYTES = 2 * 1024;

    /** The maximum size of the head of a response, and of its trailers, in bytes. */
    private static final int MAX_RESPONSE_HEADER_BYTES = 32 * 1024;

    /** The maximum number of connections to one backend server. */
    private static final int MAX_CONNECTIONS = 1024;

    /** The maximum number of requests that wait for a connection to one backend server. */
    private static final int MAX_QUEUED = 1024;

    /** No limit to the number of exchanges on one connection. */
    private static final int UNLIMITED_USAGE = -1;

    /** Prevents instances of this utility class. */
    private HttpFactory() {}

    /**
     * Creates a server.
     *
     * @param name the name of the port and the prefix of thread names
     * @param address the address to listen on
     * @param handler serves requests
     * @return the server, not yet started
     */
    static Server server(String name, InetSocketAddress address, Handler handler) {
        return server(name, address, new HttpConnectionFactory(limits()), handler);
    }

    /**
     * Creates the server of a port for callers.
     *
     * @param name the name of the port and the prefix of thread names
     * @param address the address to listen on
     * @param receiveLimit the time limit for receiving a request
     * @param clock the clock
     * @param handler serves requests
     * @return the server, not yet started
     */
    static Server callerServer(
            String name,
            InetSocketAddress address,
            Duration receiveLimit,
            MonotonicClock clock,
            Handler handler) {
        HttpConnectionFactory connections =
                new ObservedConnectionFactory(limits(), receiveLimit.toMillis(), clock);
        return server(name, address, connections, handler);
    }

    /**
     * Creates a server.
     *
     * @param name the name of the port and the prefix of thread names
     * @param address the address to listen on
     * @param connections creates connections
     * @param handler serves requests
     * @return the server, not yet started
     */
    private static Server server(
            String name,
            InetSocketAddress address,
            HttpConnectionFactory connections,
            Handler handler) {
        QueuedThreadPool threads = new QueuedThreadPool(SERVER_THREADS, 2);
        threads.setName(name);
        threads.setDaemon(true);
        Server server = new Server(threads);
        server.addConnector(connector(server, name, address, connections));
        server.setHandler(handler);
        server.setStopAtShutdown(false);
        return server;
    }

    /**
     * Returns the limits of connections of callers and operators.
     *
     * @return the limits
     */
    static HttpConfiguration limits() {
        HttpConfiguration http = new HttpConfiguration();
        http.setRequestHeaderSize(MAX_HEADER_BYTES);
        http.setSendServerVersion(false);
        return http;
    }

    /**
     * Creates the connector of a port.
     *
     * @param server the server
     * @param name the name of the port
     * @param address the address to listen on
     * @param connections creates connections
     * @return the connector, not yet started
     */
    static ServerConnector connector(
            Server server,
            String name,
            InetSocketAddress address,
            HttpConnectionFactory connections) {
        ServerConnector connector = new ServerConnector(server, 1, 2, connections);
        connector.setName(name);
        connector.setHost(address.getHostString());
        connector.setPort(address.getPort());
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        return connector;
    }

    /**
     * Creates a client with pooled connections.
     *
     * @return the client, not yet started
     */
    static HttpClient pooledClient() {
        return client("backend", UNLIMITED_USAGE);
    }

    /**
     * Creates a client that uses each connection once.
     *
     * @return the client, not yet started
     */
    static HttpClient singleUseClient() {
        return client("backend-single-use", 1);
    }

    /**
     * Creates a client.
     *
     * @param name the prefix of thread names
     * @param maxUsage the maximum number of exchanges on one connection; -1 for no limit
     * @return the client, not yet started
     */
    private static HttpClient client(String name, int maxUsage) {
        QueuedThreadPool threads = new QueuedThreadPool(CLIENT_THREADS, 2);
        threads.setName(name);
        threads.setDaemon(true);
        BackendConnector connector = new BackendConnector();
        connector.setSelectors(1);
        HttpClient client = new HttpClient(new BackendTransport(connector, maxUsage));
        client.setExecutor(threads);
        client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        client.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        client.setMaxRequestsQueuedPerDestination(MAX_QUEUED);
        client.setMaxRequestHeadersSize(MAX_HEADER_BYTES + ADDED_HEADER_BYTES);
        client.setMaxResponseHeadersSize(MAX_RESPONSE_HEADER_BYTES);
        // With pooled buffers of Jetty 12.1.13, aborted responses let bytes of one connection reach
        // another. A buffer that is never used again cannot carry them.
        client.setByteBufferPool(new ByteBufferPool.NonPooling());
        client.setUseInputDirectByteBuffers(false);
        client.setUseOutputDirectByteBuffers(false);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        return client;
    }
}
