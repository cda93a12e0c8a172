package org.magnoliaseam.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.magnoliaseam.caller.BodyReader;
import org.magnoliaseam.caller.ObservedEndPoint;
import org.magnoliaseam.catalog.Account;
import org.magnoliaseam.catalog.Catalog;
import org.magnoliaseam.catalog.RequestKind;
import org.magnoliaseam.catalog.Route;
import org.magnoliaseam.catalog.Service;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.exchange.Header;
import org.magnoliaseam.gateway.CurrentCatalog;
import org.magnoliaseam.gateway.Gateway;
import org.magnoliaseam.gateway.GatewayRequest;
import org.magnoliaseam.gateway.ShutdownState;
import org.magnoliaseam.membership.StableHash;
import org.magnoliaseam.model.Identifiers;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.time.MonotonicClock;

/** Handles the HTTP requests of the platform's callers. */
public final class CallerProtocol extends Handler.Abstract {

    /** The time limit for receiving a request, in milliseconds. */
    public static final long RECEIVE_LIMIT_MILLIS = 10_000;

    /** The prefix of the {@code Authorization} field before the API key. */
    private static final String BEARER = "Bearer ";

    /** The retry delay that a refused caller is told, in milliseconds. */
    private static final long RETRY_AFTER_MILLIS = 200;

    /** The retry delay during a planned stop, when callers switch VMs, in milliseconds. */
    private static final long LEAVING_RETRY_AFTER_MILLIS = 10;

    /** Tells a caller that a retry would not help. */
    private static final long NO_RETRY = 0;

    /** Stands in the refusal of a request without an id. */
    private static final RequestId NO_ID = new RequestId("none");

    /** Explains why a request has no usable id. */
    private static final String FAULTY_ID = "X-Request-Id is missing, empty or repeated.";

    /** Provides the current catalog. */
    private final CurrentCatalog mCurrentCatalog;

    /** Runs requests. */
    private final Gateway mGateway;

    /** The progress of a planned stop. */
    private final ShutdownState mShutdown;

    /** The clock. */
    private final MonotonicClock mClock;

    /**
     * Creates a handler.
     *
     * @param currentCatalog provides the current catalog
     * @param gateway runs requests
     * @param shutdown the progress of a planned stop, during which responses close connections
     * @param clock the clock
     */
    public CallerProtocol(
            CurrentCatalog currentCatalog,
            Gateway gateway,
            ShutdownState shutdown,
            MonotonicClock clock) {
        mCurrentCatalog = currentCatalog;
        mGateway = gateway;
        mShutdown = shutdown;
        mClock = clock;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (mShutdown.leaving()) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
        Optional<RequestId> id = id(request.getHeaders());
        CallerResponse answer = new CallerResponse(response, callback, id.orElse(NO_ID));
        Optional<ObservedEndPoint> endPoint = endPoint(request);
        guard(() -> serve(request, id, answer, endPoint), answer, endPoint);
        return true;
    }

    /**
     * Runs a step of a request and refuses the request if that fails with an exception. Jetty sends
     * no answer if an exception leaves a callback that reads the body.
     *
     * @param step the step
     * @param answer writes the response
     * @param endPoint the connection of the caller, if it can be observed
     */
    private static void guard(
            Runnable step, CallerResponse answer, Optional<ObservedEndPoint> endPoint) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            endPoint.ifPresent(observed -> observed.failed(e));
            answer.refuse(Refusal.of(ErrorKind.INTERNAL));
        }
    }

    /**
     * Reads the body of a request and runs the request or refuses it. The body is read in both
     * cases: the caller may lose an answer that is sent while its body arrives.
     *
     * @param request the request
     * @param id its id; empty if it has no usable one
     * @param answer writes the response
     * @param endPoint the connection of the caller, if it can be observed
     */
    private void serve(
            Request request,
            Optional<RequestId> id,
            CallerResponse answer,
            Optional<ObservedEndPoint> endPoint) {
        long arrived = mClock.nanos();
        Result<Match, Denial> match = admit(request, id);
        int maxBytes;
        Consumer<Result<byte[], Refusal>> onBody;
        if (match instanceof Result.Ok<Match, Denial> ok) {
            Match found = ok.value();
            maxBytes = found.catalog().limits().maxBodyBytes();
            onBody =
                    body ->
                            body.fold(
                                    bytes -> {
                                        submit(
                                                gatewayRequest(
                                                        request, id.get(), found, bytes, arrived),
                                                answer,
                                                endPoint);
                                        return null;
                                    },
                                    refusal -> {
                                        answer.refuse(refusal, RETRY_AFTER_MILLIS);
                                        return null;
                                    });
        } else {
            Denial denial = ((Result.Err<Match, Denial>) match).error();
            maxBytes = 0;
            onBody = body -> answer.refuse(denial.refusal(), denial.retryAfterMillis());
        }
        new BodyReader(
                        request,
                        maxBytes,
                        arrived + TimeUnit.MILLISECONDS.toNanos(RECEIVE_LIMIT_MILLIS),
                        mClock,
                        body -> guard(() -> onBody.accept(body), answer, endPoint))
                .read();
    }

    /**
     * Tells why a request is refused before its body is read.
     *
     * @param refusal the refusal
     * @param retryAfterMillis the retry delay that the caller is told, in milliseconds
     */
    private record Denial(Refusal refusal, long retryAfterMillis) {}

    /**
     * Finds what applies to a request unless the request is refused whatever its body is.
     *
     * @param request the request
     * @param id its id; empty if it has no usable one
     * @return the entries that apply, or why the request is refused
     */
    private Result<Match, Denial> admit(Request request, Optional<RequestId> id) {
        if (mShutdown.closed()) {
            return Result.err(
                    new Denial(Refusal.of(ErrorKind.LEAVING), LEAVING_RETRY_AFTER_MILLIS));
        }
        Optional<Catalog> catalog = mCurrentCatalog.catalog();
        if (catalog.isEmpty()) {
            return Result.err(new Denial(Refusal.of(ErrorKind.NOT_READY), RETRY_AFTER_MILLIS));
        }
        if (id.isEmpty()) {
            return Result.err(
                    new Denial(new Refusal(ErrorKind.INVALID_REQUEST, FAULTY_ID), NO_RETRY));
        }
        return match(request, catalog.get())
                .fold(
                        Result::ok,
                        kind -> Result.err(new Denial(Refusal.of(kind), RETRY_AFTER_MILLIS)));
    }

    /**
     * Holds the catalog entries that apply to a request.
     *
     * @param catalog the catalog
     * @param route the route
     * @param service the service
     * @param account the client account; empty if the route needs no key
     */
    private record Match(
            Catalog catalog, Route route, Service service, Optional<Account> account) {}

    /**
     * Finds the route, account and service of a request. An unknown route or key may have been
     * published since the last contact with the store, so it counts as unknown only while the
     * catalog is fresh. Otherwise the request is refused as {@link ErrorKind#NOT_READY}.
     *
     * @param request the request
     * @param catalog the current catalog
     * @return the entries that apply, or why the request is refused
     */
    private Result<Match, ErrorKind> match(Request request, Catalog catalog) {
        boolean fresh = mCurrentCatalog.fresh();
        HttpURI target = request.getHttpURI();
        if (target.getPath() == null || target.getFragment() != null) {
            return Result.err(ErrorKind.INVALID_REQUEST);
        }
        Optional<Route> route = catalog.route(host(request), target.getPath());
        if (route.isEmpty()) {
            return Result.err(fresh ? ErrorKind.NOT_FOUND : ErrorKind.NOT_READY);
        }
        Optional<Account> account = Optional.empty();
        if (catalog.accounts().keyed() && !route.get().open()) {
            account = account(request.getHeaders(), catalog);
            if (account.isEmpty()) {
                return Result.err(fresh ? ErrorKind.UNAUTHENTICATED : ErrorKind.NOT_READY);
            }
        }
        String id = String.valueOf(request.getHeaders().get(WireNames.REQUEST_ID));
        double draw = StableHash.draw(id, 1);
        Optional<Service> service = catalog.service(route.get().service(draw));
        if (service.isEmpty()) {
            return Result.err(ErrorKind.NO_BACKEND_SERVER);
        }
        return Result.ok(new Match(catalog, route.get(), service.get(), account));
    }

    /**
     * Finds the account that owns the API key of a request.
     *
     * @param headers the header fields
     * @param catalog the current catalog
     * @return the account; empty if the key is missing or unknown
     */
    private static Optional<Account> account(HttpFields headers, Catalog catalog) {
        String authorization = headers.get(HttpHeader.AUTHORIZATION);
        if (authorization == null || !authorization.startsWith(BEARER)) {
            return Optional.empty();
        }
        return catalog.accounts().account(authorization.substring(BEARER.length()).strip());
    }

    /**
     * Returns the host named in the {@code Host} field.
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
     * @return the id as the caller sent it; empty if it sent none, an empty one or several
     */
    private static Optional<RequestId> id(HttpFields headers) {
        List<String> ids = headers.getValuesList(WireNames.REQUEST_ID);
        return ids.size() == 1 && Identifiers.isText(ids.get(0))
                ? Optional.of(new RequestId(ids.get(0)))
                : Optional.empty();
    }

    /**
     * Builds the request for the gateway.
     *
     * @param request the request of the caller
     * @param id its id
     * @param found the catalog entries that apply to it
     * @param body its body
     * @param arrivedNanos the local monotonic time of arrival
     * @return the request
     */
    private static GatewayRequest gatewayRequest(
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
        long requested = CallerDeadline.millis(fields.get(WireNames.DEADLINE), limit);
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
                arrivedNanos + TimeUnit.MILLISECONDS.toNanos(Math.min(requested, limit)));
    }

    /**
     * Runs a request and cancels it if the caller closes the connection. During a shutdown, a
     * request whose body was received too late is refused, and so is one that must not run twice if
     * it could still run when the process ends.
     *
     * @param request the request
     * @param answer writes the response
     * @param endPoint the connection of the caller, if it can be observed
     */
    private void submit(
            GatewayRequest request, CallerResponse answer, Optional<ObservedEndPoint> endPoint) {
        boolean once = request.route().kind() == RequestKind.ONCE;
        if (mShutdown.closed() || once && mShutdown.mayOutlast(request.deadlineNanos())) {
            answer.refuse(Refusal.of(ErrorKind.LEAVING), LEAVING_RETRY_AFTER_MILLIS);
            return;
        }
        Cancellation cancellation = mGateway.submit(request, answer);
        endPoint.ifPresent(observed -> answer.observe(observed, cancellation::cancel));
    }

    /**
     * Returns the connection of a request as an observable end point.
     *
     * @param request the request
     * @return the end point; empty if it cannot be observed
     */
    private static Optional<ObservedEndPoint> endPoint(Request request) {
        EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        return endPoint instanceof ObservedEndPoint observed
                ? Optional.of(observed)
                : Optional.empty();
    }
}
