package org.magnoliaseam.catalog;

import java.util.Optional;
import org.magnoliaseam.model.ServiceName;

/**
 * Describes the backend servers of one service.
 *
 * @param name the service
 * @param maxConnections the connections that one backend server takes from all entry VMs
 * @param coldPerSecond the requests a second that a backend server in cold start bears; 0 if it
 *     bears any number
 * @param coldMillis the time that a backend server stays in cold start, in milliseconds
 * @param engine the limits of its model engines; empty for plain services
 */
public record Service(
        ServiceName name,
        int maxConnections,
        double coldPerSecond,
        long coldMillis,
        Optional<EngineCapacity> engine) {}
