package org.magnoliaseam.gateway;

import org.magnoliaseam.catalog.ServerEntry;

/**
 * Describes one attempt of a request at a backend server.
 *
 * @param request the request
 * @param server the backend server
 * @param deadlineNanos the local monotonic time at which the attempt ends
 * @param lastEventId the id of the last event that the caller has; empty if it has none
 */
public record TryOrder(
        GatewayRequest request, ServerEntry server, long deadlineNanos, String lastEventId) {}
