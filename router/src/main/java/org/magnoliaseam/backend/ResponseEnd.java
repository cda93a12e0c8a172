package org.magnoliaseam.backend;

import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Tells whether the end of a connection is the end of a response. A response without a length ends
 * with its connection, and one whose connection was reset is incomplete. If the request is long,
 * the backend server may have answered without reading it; its end is then confirmed, as a reset
 * follows when the backend server closes the connection. Thread-safe.
 */
public final class ResponseEnd {

    /** The size above which a request may be unread although the kernel has taken it, in bytes. */
    private static final long LONG_REQUEST_BYTES = 16 * 1024;

    /** Whether the request has been written. */
    private volatile boolean mWritten;

    /** The connection of the response; null before its header fields arrive. */
    private volatile BackendEndPoint mEndPoint;

    /** Records that the request has been written. */
    public void written() {
        mWritten = true;
    }

    /**
     * Records the connection of a response.
     *
     * @param response the response, whose header fields have arrived
     */
    public void head(Response response) {
        BackendEndPoint.of(response.getRequest())
                .ifPresent(
                        endPoint -> {
                            mEndPoint = endPoint;
                            if (isLong(response.getRequest()) && endsWithConnection(response)) {
                                endPoint.confirmEnd(() -> mWritten);
                            }
                        });
    }

    /**
     * Tells whether a backend server may answer a request without having read it.
     *
     * @param request the request
     * @return true if its body is long or of unknown length
     */
    private static boolean isLong(Request request) {
        Request.Content body = request.getBody();
        return body != null && (body.getLength() < 0 || body.getLength() > LONG_REQUEST_BYTES);
    }

    /**
     * Tells whether a response ends with its connection.
     *
     * @param response the response, whose header fields have arrived
     * @return true if they state no other end
     */
    private static boolean endsWithConnection(Response response) {
        HttpFields fields = response.getHeaders();
        return !HttpStatus.hasNoBody(response.getStatus())
                && !HttpMethod.HEAD.is(response.getRequest().getMethod())
                && !fields.contains(HttpHeader.CONTENT_LENGTH)
                && !fields.contains(
                        HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED.asString());
    }

    /**
     * Tells whether the connection of the response was reset.
     *
     * @return true after a reset; false also if no response has begun
     */
    public boolean wasReset() {
        BackendEndPoint endPoint = mEndPoint;
        return endPoint != null && endPoint.wasReset();
    }
}
