package org.magnoliaseam.gateway;

import java.util.Optional;
import org.magnoliaseam.catalog.ServerEntry;

/**
 * Describes one attempt of a request at a backend server.
 *
 * @param request the request
 * @param server the backend server
 * @param deadlineNanos the local monotonic time at which the attempt ends
 * @param lastEventId the id of the last event that the caller has; empty if it has none
 * @param cacheSource the engine from which the backend server fetches cached prompt parts, if any
 */
public record TryOrder(
        GatewayRequest request,
        ServerEntry server,
        long deadlineNanos,
        String lastEventId,
        Optional<ServerEntry> cacheSource) {

    /**
     * Creates an attempt that fetches no cached prompt parts.
     *
     * @param request the request
     * @param server the backend server
     * @param deadlineNanos the local monotonic time at which the attempt ends
     * @param lastEventId the id of the last event that the caller has; empty if it has none
     */
    public TryOrder(
            GatewayRequest request, ServerEntry server, long deadlineNanos, String lastEventId) {
        this(request, server, deadlineNanos, lastEventId, Optional.empty());
    }
}
