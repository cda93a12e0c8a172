package org.magnoliaseam.backend;

import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.AbstractConnection;

/**
 * Tells whether the end of a connection is the end of a response. A response without a length ends
 * with its connection, and one whose connection was reset is incomplete. Thread-safe.
 */
public final class ResponseEnd {

    /** The connection of the response; null before its header fields arrive. */
    private volatile BackendEndPoint mEndPoint;

    /**
     * Records the connection of a response.
     *
     * @param response the response, whose header fields have arrived
     */
    public void head(Response response) {
        if (response.getRequest().getConnection() instanceof AbstractConnection connection
                && connection.getEndPoint() instanceof BackendEndPoint endPoint) {
            mEndPoint = endPoint;
        }
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
