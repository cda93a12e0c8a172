package org.magnoliaseam.platform;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.magnoliaseam.backend.CallCancelledException;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.exchange.Header;
import org.magnoliaseam.gateway.GatewayRequest;
import org.magnoliaseam.gateway.TryListener;
import org.magnoliaseam.gateway.TryOrder;
import org.magnoliaseam.gateway.TryPort;
import org.magnoliaseam.time.MonotonicClock;

/** Sends tries to the platform's backend servers. */
public final class ServerProtocol implements TryPort {

    /** The lowest rank that an engine knows. */
    private static final int LOWEST_RANK = 9;

    /** The time by which a try may exceed its deadline before it is ended here, in milliseconds. */
    private static final long DEADLINE_SLACK_MILLIS = 1000;

    /** The statement of how long a connection may stay unused, in seconds. */
    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

    /** The time by which connections end before the backend servers close them. */
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
    public Cancellation start(TryOrder order, TryListener listener) {
        GatewayRequest wanted = order.request();
        InetSocketAddress address = order.server().address();
        Request request = mClient.newRequest(address.getHostString(), address.getPort());
        request.method(wanted.method()).path(wanted.target());
        long left = TimeUnit.NANOSECONDS.toMillis(order.deadlineNanos() - mClock.nanos());
        request.headers(
                fields -> {
                    for (Header header : wanted.headers()) {
                        fields.add(header.name(), header.value());
                    }
                    if (!order.lastEventId().isEmpty()) {
                        fields.put(WireNames.LAST_EVENT, order.lastEventId());
                    }
                    fields.put(WireNames.REQUEST_ID, wanted.id().value());
                    fields.put(WireNames.DEADLINE, Long.toString(Math.max(1, left)));
                    fields.put(WireNames.TARGET, order.server().id().value());
                    wanted.account()
                            .ifPresent(found -> fields.put(WireNames.ACCOUNT, found.id().value()));
                    if (wanted.service().engine().isPresent()) {
                        int rank = Math.max(0, Math.min(LOWEST_RANK, wanted.priority()));
                        fields.put(WireNames.PRIORITY, Integer.toString(rank));
                    }
                });
        if (wanted.body().length > 0) {
            request.body(new BytesRequestContent(contentType(wanted), wanted.body()));
        }
        request.timeout(left + DEADLINE_SLACK_MILLIS, TimeUnit.MILLISECONDS);
        request.idleTimeout(left + DEADLINE_SLACK_MILLIS, TimeUnit.MILLISECONDS);
        ServerExchange exchange = new ServerExchange(wanted.id(), listener);
        request.onRequestBegin(exchange::sending);
        request.onResponseHeaders(exchange::head);
        request.onResponseHeaders(this::keepAlive);
        request.onResponseContentSource(exchange::content);
        request.send((Result result) -> exchange.complete(result));
        return () -> request.abort(new CallCancelledException());
    }

    /**
     * Lets unused connections end shortly before the backend servers close them.
     *
     * @param response an answer, which states how long its connection may stay unused
     */
    private void keepAlive(Response response) {
        String text = response.getHeaders().get(HttpHeader.KEEP_ALIVE);
        Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(text == null ? "" : text);
        if (matcher.find()) {
            long stated = TimeUnit.SECONDS.toMillis(Long.parseLong(matcher.group(1)));
            long idle = stated - Math.min(KEEP_ALIVE_MARGIN_MILLIS, stated / 2);
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
