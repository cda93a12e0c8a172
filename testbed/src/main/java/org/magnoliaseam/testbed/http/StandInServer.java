package org.magnoliaseam.testbed.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Listens on a loopback address and passes each request with its whole body to a request handler.
 */
public final class StandInServer implements AutoCloseable {

    /** The largest number of threads of the server. */
    private static final int MAX_THREADS = 16;

    /** The number of connections that may wait to be accepted. */
    private static final int ACCEPT_QUEUE = 1024;

    /** The milliseconds after which an idle connection is closed. */
    private static final long IDLE_TIMEOUT_MILLIS = 600_000;

    /** The server. */
    private final Server mServer;

    /** The listening socket. */
    private final ServerConnector mConnector;

    /**
     * Creates a server.
     *
     * @param address the address to listen on
     * @param requestHandler the handler that answers the requests
     */
    public StandInServer(ListenAddress address, RequestHandler requestHandler) {
        mServer = new Server(new QueuedThreadPool(MAX_THREADS));
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        mConnector = new ServerConnector(mServer, 1, 1, new HttpConnectionFactory(http));
        mConnector.setHost(address.host());
        mConnector.setPort(address.port());
        mConnector.setAcceptQueueSize(ACCEPT_QUEUE);
        mConnector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        mServer.addConnector(mConnector);
        mServer.setHandler(new HandlerAdapter(requestHandler));
    }

    /**
     * Starts listening.
     *
     * @return this server
     * @throws Exception if the address cannot be bound
     */
    public StandInServer start() throws Exception {
        mServer.start();
        mConnector.setPort(mConnector.getLocalPort());
        return this;
    }

    /**
     * Starts listening and prints the address for the process that waits for it.
     *
     * @throws Exception if the address cannot be bound
     */
    public void startAndReport() throws Exception {
        start();
        System.out.println("ready " + address());
    }

    /**
     * Returns the address that the server listens on.
     *
     * @return the address
     */
    public ListenAddress address() {
        return ListenAddress.loopback(mConnector.getPort());
    }

    /** Resets every connection. */
    public void resetAll() {
        for (EndPoint endPoint : mConnector.getConnectedEndPoints()) {
            HttpExchange.reset(endPoint);
        }
    }

    /**
     * Stops listening; new connections are refused.
     *
     * @throws Exception if the socket cannot be closed
     */
    public void suspend() throws Exception {
        mConnector.stop();
    }

    /**
     * Listens again on the same address.
     *
     * @throws Exception if the address cannot be bound
     */
    public void resume() throws Exception {
        mConnector.start();
    }

    @Override
    public void close() throws Exception {
        mServer.stop();
    }

    /** Reads the body and passes the exchange on. */
    private static final class HandlerAdapter extends Handler.Abstract {

        /** The handler that answers the requests. */
        private final RequestHandler mRequestHandler;

        /**
         * Creates a handler.
         *
         * @param requestHandler the handler that answers the requests
         */
        HandlerAdapter(RequestHandler requestHandler) {
            mRequestHandler = requestHandler;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            Content.Source.asString(
                    request,
                    StandardCharsets.UTF_8,
                    Promise.from(
                            body -> answer(new HttpExchange(request, response, callback, body)),
                            callback::failed));
            return true;
        }

        /**
         * Answers an exchange, and a malformed request with status 400.
         *
         * @param exchange the exchange
         */
        private void answer(HttpExchange exchange) {
            try {
                mRequestHandler.handle(exchange);
            } catch (IllegalArgumentException e) {
                exchange.json(400, Map.of("error", String.valueOf(e.getMessage())));
            }
        }
    }
}
