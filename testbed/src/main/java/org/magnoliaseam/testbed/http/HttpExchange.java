package org.magnoliaseam.testbed.http;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Holds one request with its whole body and gives access to its answer. */
public final class HttpExchange {

    /** The request. */
    private final Request mRequest;

    /** The answer. */
    private final Response mResponse;

    /** The callback that ends the exchange. */
    private final Callback mCallback;

    /** The body of the request. */
    private final String mBody;

    /**
     * Creates an exchange.
     *
     * @param request the request
     * @param response the answer
     * @param callback the callback that ends the exchange
     * @param body the body of the request
     */
    HttpExchange(Request request, Response response, Callback callback, String body) {
        mRequest = request;
        mResponse = response;
        mCallback = callback;
        mBody = body;
    }

    /**
     * Returns the body of the request.
     *
     * @return the text, empty if there is none
     */
    public String body() {
        return mBody;
    }

    /**
     * Returns the method and the path of the request.
     *
     * @return the method and the path, separated by a space
     */
    public String route() {
        return mRequest.getMethod() + " " + path();
    }

    /**
     * Returns the path of the request.
     *
     * @return the path without the query
     */
    public String path() {
        return Request.getPathInContext(mRequest);
    }

    /**
     * Returns a header field of the request.
     *
     * @param name the name
     * @return the value, if present
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(mRequest.getHeaders().get(name));
    }

    /**
     * Returns a parameter of the query.
     *
     * @param name the name
     * @return the value, if present
     */
    public Optional<String> query(String name) {
        return Optional.ofNullable(Request.extractQueryParameters(mRequest).getValue(name));
    }

    /**
     * Returns a parameter of the query that is a whole number.
     *
     * @param name the name
     * @param fallback the value if the parameter is absent
     * @return the number
     */
    public long number(String name, long fallback) {
        return query(name).map(Long::parseLong).orElse(fallback);
    }

    /**
     * Adds a header field to the answer.
     *
     * @param name the name
     * @param value the value
     * @return this exchange
     */
    public HttpExchange with(String name, String value) {
        mResponse.getHeaders().put(name, value);
        return this;
    }

    /**
     * Adds a header field to the response, beside those of the same name.
     *
     * @param name the name
     * @param value the value
     */
    public void add(String name, String value) {
        mResponse.getHeaders().add(name, value);
    }

    /**
     * Answers with a JSON body.
     *
     * @param status the status
     * @param value the value to write
     */
    public void json(int status, Object value) {
        mResponse.setStatus(status);
        mResponse.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        Content.Sink.write(mResponse, true, Json.write(value), mCallback);
    }

    /**
     * Answers without a body.
     *
     * @param status the status
     */
    public void empty(int status) {
        mResponse.setStatus(status);
        mCallback.succeeded();
    }

    /** Begins an answer of server-sent events. */
    public void beginEvents() {
        mResponse.setStatus(200);
        mResponse.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
    }

    /**
     * Writes a part of a streamed answer.
     *
     * @param last whether this part ends the answer
     * @param text the part
     * @param done gets null when the part is written, else the failure
     */
    public void write(boolean last, String text, Consumer<Throwable> done) {
        Callback callback = Callback.from(() -> done.accept(null), done::accept);
        mResponse.write(
                last,
                StandardCharsets.UTF_8.encode(text),
                last ? Callback.combine(callback, mCallback) : callback);
    }

    /** Resets the connection without sending further bytes. */
    public void reset() {
        EndPoint endPoint = mRequest.getConnectionMetaData().getConnection().getEndPoint();
        reset(endPoint);
        mCallback.failed(new IOException("The stand-in reset the connection"));
    }

    /** Closes the connection without sending further bytes. */
    public void close() {
        mRequest.getConnectionMetaData().getConnection().getEndPoint().close();
        mCallback.failed(new IOException("The stand-in closed the connection"));
    }

    /**
     * Resets a connection.
     *
     * @param endPoint the connection
     */
    static void reset(EndPoint endPoint) {
        if (endPoint.getTransport() instanceof SocketChannel channel) {
            try {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            } catch (IOException e) {
                // The caller closed the connection first, so nothing is left to reset.
                endPoint.close();
            }
        }
        endPoint.close();
    }
}
