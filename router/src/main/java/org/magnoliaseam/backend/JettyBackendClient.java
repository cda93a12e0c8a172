package org.magnoliaseam.backend;

import java.net.URI;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpMethod;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.exchange.Header;

/** Sends requests to backend servers over HTTP with Jetty's client. */
public final class JettyBackendClient implements BackendClient {

    /** The header field that carries the id of the request. */
    public static final String REQUEST_ID_HEADER = "X-Request-Id";

    /** The header field that carries the rank of the tier. */
    private static final String PRIORITY_HEADER = "X-Priority";

    /** The header field that carries the number of tokens that the caller already has. */
    private static final String RESUME_HEADER = "X-Resume-Offset";

    /** The client with pooled connections, used for requests that may be repeated. */
    private final HttpClient mPooled;

    /** The client that uses each connection once, so that no request is sent on a closed one. */
    private final HttpClient mSingleUse;

    /**
     * Creates a client.
     *
     * @param pooled the started client with pooled connections
     * @param singleUse the started client that uses each connection once
     */
    public JettyBackendClient(HttpClient pooled, HttpClient singleUse) {
        mPooled = pooled;
        mSingleUse = singleUse;
    }

    @Override
    public Cancellation start(BackendCall call, BackendListener listener) {
        // Resolving the path would take the host of a path that begins with two slashes.
        URI base = call.server().address();
        URI address = URI.create(base.getScheme() + "://" + base.getRawAuthority() + call.path());
        HttpClient client = call.repeatable() ? mPooled : mSingleUse;
        Request request = client.newRequest(address).method(call.method());
        request.headers(
                fields -> {
                    for (Header header : call.headers()) {
                        fields.put(header.name(), header.value());
                    }
                    fields.put(REQUEST_ID_HEADER, call.id().value());
                    fields.put(PRIORITY_HEADER, call.tier().rank());
                    if (call.resumeOffset() > 0) {
                        fields.put(RESUME_HEADER, call.resumeOffset());
                    }
                });
        if (call.body().length > 0 || !HttpMethod.GET.is(call.method())) {
            request.body(new BytesRequestContent(contentType(call), call.body()));
        }
        request.timeout(call.timeoutMillis(), TimeUnit.MILLISECONDS);
        BackendExchange exchange = new BackendExchange(call.id(), listener);
        request.onRequestBegin(exchange::sending);
        request.onRequestSuccess(written -> exchange.written());
        request.onResponseHeaders(exchange::head);
        request.onResponseContentSource(exchange::content);
        request.send((Result result) -> exchange.complete(result));
        return () -> request.abort(new CallCancelledException());
    }

    /**
     * Returns the media type of the request body.
     *
     * @param call the attempt
     * @return the media type that the caller sent; JSON if it sent none
     */
    private static String contentType(BackendCall call) {
        for (Header header : call.headers()) {
            if ("Content-Type".equalsIgnoreCase(header.name())) {
                return header.value();
            }
        }
        return "application/json";
    }
}
