package org.magnoliaseam.platform;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.ConnectionPool;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Origin;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.magnoliaseam.backend.CallCancelledException;
import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.exchange.Header;
import org.magnoliaseam.gateway.AttemptListener;
import org.magnoliaseam.gateway.AttemptSender;
import org.magnoliaseam.gateway.GatewayRequest;
import org.magnoliaseam.gateway.TryOrder;
import org.magnoliaseam.time.MonotonicClock;

/** Sends attempts of requests to the platform's backend servers. */
public final class ServerProtocol implements AttemptSender {

    /** The lowest priority that a model engine accepts; 0 is the highest. */
    private static final int LOWEST_PRIORITY = 9;

    /** The time after its deadline at which an attempt is aborted, in milliseconds. */
    private static final long DEADLINE_SLACK_MILLIS = 1000;

    /** Matches the idle timeout in a {@code Keep-Alive} field, in seconds. */
    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

    /** How long before the server's idle timeout a connection is closed, in milliseconds. */
    private static final long KEEP_ALIVE_MARGIN_MILLIS = 1500;

    /** The HTTP client. */
    private final HttpClient mClient;

    /** The clock. */
    private final MonotonicClock mClock;

    /**
     * Creates a protocol.
     *
     * @param client the started HTTP client
     * @param clock the clock
     */
    public ServerProtocol(HttpClient client, MonotonicClock clock) {
        mClient = client;
        mClock = clock;
    }

    @Override
    public Cancellation start(TryOrder order, AttemptListener listener) {
        GatewayRequest callerRequest = order.request();
        InetSocketAddress address = order.server().address();
        Request request = new TargetRequest(mClient, address, callerRequest.target());
        request.method(callerRequest.method());
        long remainingMillis =
                TimeUnit.NANOSECONDS.toMillis(order.deadlineNanos() - mClock.nanos());
        request.headers(
                fields -> {
                    for (Header header : callerRequest.headers()) {
                        fields.add(header.name(), header.value());
                    }
                    if (!order.lastEventId().isEmpty()) {
                        fields.put(WireNames.LAST_EVENT, order.lastEventId());
                    }
                    fields.put(WireNames.REQUEST_ID, callerRequest.id().value());
                    fields.put(WireNames.DEADLINE, Long.toString(Math.max(1, remainingMillis)));
                    fields.put(WireNames.TARGET, WireNames.value(order.server().id().value()));
                    callerRequest
                            .account()
                            .map(account -> WireNames.value(account.id().value()))
                            .ifPresent(name -> fields.put(WireNames.ACCOUNT, name));
                    order.cacheSource()
                            .map(ServerEntry::address)
                            .map(source -> source.getHostString() + ':' + source.getPort())
                            .ifPresent(source -> fields.put(WireNames.CACHE_SOURCE, source));
                    if (callerRequest.service().engine().isPresent()) {
                        int priority =
                                Math.max(0, Math.min(LOWEST_PRIORITY, callerRequest.priority()));
                        fields.put(WireNames.PRIORITY, Integer.toString(priority));
                    }
                });
        if (callerRequest.body().length > 0) {
            request.body(new BytesRequestContent(contentType(callerRequest), callerRequest.body()));
        }
        request.timeout(remainingMillis + DEADLINE_SLACK_MILLIS, TimeUnit.MILLISECONDS);
        request.idleTimeout(remainingMillis + DEADLINE_SLACK_MILLIS, TimeUnit.MILLISECONDS);
        boolean repeatable = callerRequest.route().idempotent();
        ServerExchange exchange = new ServerExchange(callerRequest.id(), repeatable, listener);
        request.onRequestBegin(exchange::sending);
        request.onRequestSuccess(written -> exchange.written());
        request.onResponseHeaders(exchange::head);
        request.onResponseHeaders(this::adjustIdleTimeout);
        request.onResponseContentSource(exchange::content);
        request.send((Result result) -> exchange.complete(result));
        return () -> request.abort(new CallCancelledException());
    }

    @Override
    public void closeIdle(ServerEntry server) {
        InetSocketAddress address = server.address();
        for (Destination destination : mClient.getDestinations()) {
            Origin.Address origin = destination.getOrigin().getAddress();
            boolean same =
                    origin.getPort() == address.getPort()
                            && origin.getHost().equals(address.getHostString());
            if (same) {
                closeIdle(destination);
            }
        }
    }

    /**
     * Closes the connections of a destination that no attempt uses.
     *
     * @param destination the destination
     */
    private static void closeIdle(Destination destination) {
        ConnectionPool pool = destination.getConnectionPool();
        for (Connection idle = pool.acquire(false); idle != null; idle = pool.acquire(false)) {
            idle.close();
        }
    }

    /**
     * Sets the idle timeout of the client so that it closes unused connections shortly before the
     * backend servers do.
     *
     * @param response a response, which may state the idle timeout of its connection
     */
    private void adjustIdleTimeout(Response response) {
        String text = response.getHeaders().get(HttpHeader.KEEP_ALIVE);
        Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(text == null ? "" : text);
        if (matcher.find()) {
            long serverTimeout = TimeUnit.SECONDS.toMillis(Long.parseLong(matcher.group(1)));
            long idle = serverTimeout - Math.min(KEEP_ALIVE_MARGIN_MILLIS, serverTimeout / 2);
            if (idle > 0 && idle != mClient.getIdleTimeout()) {
                mClient.setIdleTimeout(idle);
            }
        }
    }

    /**
     * Returns the media type of the body.
     *
     * @param request the request
     * @return the media type that the caller sent; null if it sent none
     */
    private static String contentType(GatewayRequest request) {
        for (Header header : request.headers()) {
            if (HttpHeader.CONTENT_TYPE.is(header.name())) {
                return header.value();
            }
        }
        return null;
    }
}
