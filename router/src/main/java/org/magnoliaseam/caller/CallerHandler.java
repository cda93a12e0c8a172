package org.magnoliaseam.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.exchange.RequestService;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.settings.ClientAccount;
import org.magnoliaseam.settings.LocalSettings;
import org.magnoliaseam.settings.RequestClass;
import org.magnoliaseam.settings.VersionedConfiguration;
import org.magnoliaseam.time.MonotonicClock;

/** Handles the requests of callers: authenticates, reads, parses and submits them. */
public final class CallerHandler extends Handler.Abstract.NonBlocking {

    /** Writes JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Provides the limits on request bodies. */
    private final LocalSettings mSettings;

    /** Returns the current configuration; empty before there is one. */
    private final Supplier<Optional<VersionedConfiguration>> mConfiguration;

    /** Runs requests. */
    private final RequestService mService;

    /** Issues tickets. */
    private final TicketIssuer mTickets;

    /** Generates request ids. */
    private final Supplier<RequestId> mIds;

    /** The clock. */
    private final MonotonicClock mClock;

    /**
     * Creates a handler.
     *
     * @param settings provides the limits on request bodies
     * @param configuration returns the current configuration; empty before there is one
     * @param service runs requests
     * @param tickets issues tickets
     * @param ids generates request ids
     * @param clock the clock
     */
    public CallerHandler(
            LocalSettings settings,
            Supplier<Optional<VersionedConfiguration>> configuration,
            RequestService service,
            TicketIssuer tickets,
            Supplier<RequestId> ids,
            MonotonicClock clock) {
        mSettings = settings;
        mConfiguration = configuration;
        mService = service;
        mTickets = tickets;
        mIds = ids;
        mClock = clock;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        long arrivedNanos = mClock.nanos();
        RequestId id = mIds.get();
        CallerSink sink = new CallerSink(response, callback, id);
        Optional<VersionedConfiguration> configuration = mConfiguration.get();
        if (configuration.isEmpty()) {
            sink.refuse(Refusal.of(ErrorKind.NOT_READY));
            return true;
        }
        String authorization = request.getHeaders().get(HttpHeader.AUTHORIZATION);
        Optional<ClientAccount> account =
                Authenticator.authenticate(configuration.get().configuration(), authorization);
        if (account.isEmpty()) {
            sink.refuse(Refusal.of(ErrorKind.UNAUTHENTICATED));
            return true;
        }
        Optional<CallerEndpoint> endpoint = CallerEndpoint.find(Request.getPathInContext(request));
        if (endpoint.isEmpty()) {
            sink.refuse(Refusal.of(ErrorKind.NOT_FOUND));
        } else if (!endpoint.get().takes(request.getMethod())) {
            sink.refuse(Refusal.of(ErrorKind.METHOD_NOT_ALLOWED));
        } else {
            CallerRequest call =
                    new CallerRequest(
                            request,
                            id,
                            configuration.get().configuration(),
                            account.get(),
                            arrivedNanos);
            serve(endpoint.get(), call, sink);
        }
        return true;
    }

    /**
     * Handles a request at its endpoint.
     *
     * @param endpoint the endpoint
     * @param call the request
     * @param sink receives the response
     */
    private void serve(CallerEndpoint endpoint, CallerRequest call, CallerSink sink) {
        if (endpoint == CallerEndpoint.MODELS) {
            sink.json(HttpStatus.OK_200, models(call));
            return;
        }
        long deadline = call.arrivedNanos() + mSettings.bodyTimeout().toNanos();
        BodyReader reader =
                new BodyReader(
                        call.request(),
                        mSettings.maxBodyBytes(),
                        deadline,
                        mClock,
                        body ->
                                body.fold(
                                        bytes -> serveBody(endpoint, call, bytes, sink),
                                        refusal -> refuse(sink, refusal)));
        reader.read();
    }

    /**
     * Handles a request after its body has been read.
     *
     * @param endpoint the endpoint
     * @param call the request
     * @param body the body
     * @param sink receives the response
     * @return null, since {@link Result#fold} needs a value
     */
    private Void serveBody(
            CallerEndpoint endpoint, CallerRequest call, byte[] body, CallerSink sink) {
        if (endpoint == CallerEndpoint.TICKETS) {
            return issueTicket(call, body, sink);
        }
        return call.parse(endpoint, body)
                .fold(
                        incoming -> {
                            RequestSubmitter.submit(
                                    mService, call.request(), incoming, sink, mTickets);
                            return null;
                        },
                        refusal -> refuse(sink, refusal));
    }

    /**
     * Issues a ticket.
     *
     * @param call the request
     * @param body the body, which names the class
     * @param sink receives the response
     * @return null, since {@link Result#fold} needs a value
     */
    private Void issueTicket(CallerRequest call, byte[] body, CallerSink sink) {
        Result<RequestClass, Refusal> requestClass = call.classNamedIn(body);
        if (requestClass instanceof Result.Err<RequestClass, Refusal> err) {
            return refuse(sink, err.error());
        }
        RequestClassId id = ((Result.Ok<RequestClass, Refusal>) requestClass).value().id();
        return mTickets.issue(call.account().id(), id)
                .fold(
                        ticket -> {
                            ObjectNode root = MAPPER.createObjectNode();
                            root.put("ticket", ticket);
                            root.put("expiresInSeconds", mTickets.ttlSeconds());
                            sink.json(HttpStatus.CREATED_201, root.toString());
                            return null;
                        },
                        refusal -> refuse(sink, refusal));
    }

    /**
     * Lists the models that an account may use.
     *
     * @param call the request
     * @return the JSON text
     */
    private static String models(CallerRequest call) {
        TreeSet<String> names = new TreeSet<>();
        for (RequestClassId id : call.account().classes()) {
            RequestClass requestClass = call.configuration().classes().get(id);
            requestClass.models().forEach(model -> names.add(model.value()));
        }
        ObjectNode root = MAPPER.createObjectNode();
        ArrayNode data = root.put("object", "list").putArray("data");
        names.forEach(name -> data.addObject().put("id", name).put("object", "model"));
        return root.toString();
    }

    /**
     * Refuses a request.
     *
     * @param sink receives the response
     * @param refusal the refusal
     * @return null, since {@link Result#fold} needs a value
     */
    private static Void refuse(CallerSink sink, Refusal refusal) {
        sink.refuse(refusal);
        return null;
    }
}
