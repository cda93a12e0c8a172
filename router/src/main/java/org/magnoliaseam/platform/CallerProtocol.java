package org.magnoliaseam.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.magnoliaseam.caller.BodyReader;
import org.magnoliaseam.caller.ObservedEndPoint;
import org.magnoliaseam.catalog.Account;
import org.magnoliaseam.catalog.Catalog;
import org.magnoliaseam.catalog.Route;
import org.magnoliaseam.catalog.Service;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.exchange.Header;
import org.magnoliaseam.gateway.Gateway;
import org.magnoliaseam.gateway.GatewayRequest;
import org.magnoliaseam.gateway.Publication;
import org.magnoliaseam.gateway.StopState;
import org.magnoliaseam.membership.StableHash;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.time.MonotonicClock;

/** Takes the requests of the platform's callers. */
public final class CallerProtocol extends Handler.Abstract {

    /** The beginning of the header field that carries a key. */
    private static final String BEARER = "Bearer ";

    /** The delay before a refused caller may come back in milliseconds. */
    private static final long COME_BACK_MILLIS = 200;

    /** The delay before a caller may come back to another entry VM in milliseconds. */
    private static final long LEAVING_MILLIS = 10;

    /** The time limit for a body in milliseconds. */
    private static final long BODY_MILLIS = 10_000;

    /** What a hash is divided by to get a number from 0 to 1. */
    private static final double HASH_RANGE = 0x1p53;

    /** The bits of a hash that such a number cannot hold. */
    private static final int HASH_SHIFT = 11;

    /** The catalog in force. */
    private final Publication mPublication;

    /** Runs requests. */
    private final Gateway mGateway;

    /** How far a planned stop has come. */
    private final StopState mShutdown;

    /** The clock. */
    private final MonotonicClock mClock;

    /**
     * Creates a handler.
     *
     * @param publication the catalog in force
     * @param gateway runs requests
     * @param shutdown how far a planned stop has come; answers close their connections during it
     * @param clock the clock
     */
    public CallerProtocol(
            Publication publication, Gateway gateway, StopState shutdown, MonotonicClock clock) {
        mPublication = publication;
        mGateway = gateway;
        mShutdown = shutdown;
        mClock = clock;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        long arrived = mClock.nanos();
        if (mShutdown.leaving()) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
        Optional<ObservedEndPoint> endPoint = endPoint(request);
        RequestId id = id(request.getHeaders());
        CallerAnswer answer = new CallerAnswer(response, callback, id);
        if (mShutdown.closed()) {
            answer.refuse(Refusal.of(ErrorKind.LEAVING), LEAVING_MILLIS);
            return true;
        }
        Optional<Catalog> catalog = mPublication.catalog();
        if (catalog.isEmpty()) {
            answer.refuse(Refusal.of(ErrorKind.NOT_READY), COME_BACK_MILLIS);
            return true;
        }
        Result<Match, ErrorKind> match = match(request, catalog.get());
        if (match instanceof Result.Err<Match, ErrorKind> err) {
            answer.refuse(Refusal.of(err.error()), COME_BACK_MILLIS);
            return true;
        }
        Match found = ((Result.Ok<Match, ErrorKind>) match).value();
        new BodyReader(
                        request,
                        catalog.get().limits().maxBodyBytes(),
                        arrived + TimeUnit.MILLISECONDS.toNanos(BODY_MILLIS),
                        mClock,
                        body ->
                                body.fold(
                                        bytes -> {
                                            GatewayRequest whole =
                                                    whole(request, id, found, bytes, arrived);
                                            submit(whole, answer, endPoint);
                                            return null;
                                        },
                                        refusal -> {
                                            answer.refuse(refusal, COME_BACK_MILLIS);
                                            return null;
                                        }))
                .read();
        return true;
    }

    /**
     * Holds what the catalog says about a request.
     *
     * @param catalog the catalog
     * @param route the route
     * @param service the service
     * @param account the client account; empty if the route is open
     */
    private record Match(
            Catalog catalog, Route route, Service service, Optional<Account> account) {}

    /**
     * Finds route, account and service of a request. What is unknown may have been published since
     * the last contact with the store, so it is denied only while the catalog is fresh.
     *
     * @param request the request
     * @param catalog the catalog in force
     * @return what the catalog says, or why the request is refused
     */
    private Result<Match, ErrorKind> match(Request request, Catalog catalog) {
        boolean fresh = mPublication.fresh();
        Optional<Route> route = catalog.route(host(request), request.getHttpURI().getPath());
        if (route.isEmpty()) {
            return Result.err(fresh ? ErrorKind.NOT_FOUND : ErrorKind.NOT_READY);
        }
        Optional<Account> account = Optional.empty();
        if (catalog.keyed() && !route.get().open()) {
            account = account(request.getHeaders(), catalog);
            if (account.isEmpty()) {
                return Result.err(fresh ? ErrorKind.UNAUTHENTICATED : ErrorKind.NOT_READY);
            }
        }
        String id = String.valueOf(request.getHeaders().get(WireNames.REQUEST_ID));
        double draw = (StableHash.of(id, 1) >>> HASH_SHIFT) / HASH_RANGE;
        Optional<Service> service = catalog.service(route.get().service(draw));
        if (service.isEmpty()) {
            return Result.err(ErrorKind.NO_BACKEND_SERVER);
        }
        return Result.ok(new Match(catalog, route.get(), service.get(), account));
    }

    /**
     * Finds the account that holds the key of a request.
     *
     * @param headers the header fields
     * @param catalog the catalog in force
     * @return the account, if the key is known
     */
    private static Optional<Account> account(HttpFields headers, Catalog catalog) {
        String authorization = headers.get(HttpHeader.AUTHORIZATION);
        if (authorization == null || !authorization.startsWith(BEARER)) {
            return Optional.empty();
        }
        return catalog.account(authorization.substring(BEARER.length()).strip());
    }

    /**
     * Returns the host that the caller names.
     *
     * @param request the request
     * @return the host without port in lower case
     */
    private static String host(Request request) {
        String host = String.valueOf(request.getHeaders().get(HttpHeader.HOST));
        int colon = host.lastIndexOf(':');
        return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the id of a request.
     *
     * @param headers the header fields
     * @return the id; a stand-in if the caller sent none that can be used
     */
    private static RequestId id(HttpFields headers) {
        try {
            return new RequestId(String.valueOf(headers.get(WireNames.REQUEST_ID)));
        } catch (IllegalArgumentException e) {
            return new RequestId("malformed");
        }
    }

    /**
     * Puts a request together.
     *
     * @param request the request of the caller
     * @param id its id
     * @param found what the catalog says about it
     * @param body its body
     * @param arrivedNanos the local monotonic time of arrival
     * @return the request
     */
    private static GatewayRequest whole(
            Request request, RequestId id, Match found, byte[] body, long arrivedNanos) {
        HttpFields fields = request.getHeaders();
        List<Header> headers = new ArrayList<>();
        for (HttpField field : fields) {
            if (WireNames.forwarded(field.getName())) {
                headers.add(new Header(field.getName(), field.getValue()));
            }
        }
        headers.add(new Header(HttpHeader.HOST.asString(), fields.get(HttpHeader.HOST)));
        String last = fields.get(WireNames.LAST_EVENT);
        long limit = found.route().timeoutMillis();
        long wanted = millis(fields.get(WireNames.DEADLINE), limit);
        return new GatewayRequest(
                id,
                found.account(),
                found.route(),
                found.service(),
                found.catalog().version(),
                request.getMethod(),
                request.getHttpURI().getPathQuery(),
                headers,
                body,
                PromptHeaders.read(fields),
                last == null ? "" : last,
                arrivedNanos,
                arrivedNanos + TimeUnit.MILLISECONDS.toNanos(Math.min(wanted, limit)));
    }

    /**
     * Reads a time.
     *
     * @param text the text; null if there is none
     * @param fallback the time if the text is none
     * @return the time in milliseconds
     */
    private static long millis(String text, long fallback) {
        try {
            return text == null ? fallback : Math.max(0, Long.parseLong(text.strip()));
        } catch (NumberFormatException e) {
            return fallback;
        }
    }

    /**
     * Runs a request and stops it when its caller is gone.
     *
     * @param request the request
     * @param answer takes the answer
     * @param endPoint observes the connection of the caller
     */
    private void submit(
            GatewayRequest request, CallerAnswer answer, Optional<ObservedEndPoint> endPoint) {
        Cancellation cancellation = mGateway.submit(request, answer);
        endPoint.ifPresent(observed -> answer.observe(observed, cancellation::cancel));
    }

    /**
     * Returns what observes the connection of a request.
     *
     * @param request the request
     * @return the end point, if it observes
     */
    private static Optional<ObservedEndPoint> endPoint(Request request) {
        EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        return endPoint instanceof ObservedEndPoint observed
                ? Optional.of(observed)
                : Optional.empty();
    }
}
