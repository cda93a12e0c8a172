package org.magnoliaseam.catalog;

import java.util.Optional;
import org.magnoliaseam.model.ServiceName;

/**
 * Describes the backend servers of one service.
 *
 * @param name the name of the service
 * @param maxConnections the largest number of connections from all entry VMs to one backend server
 * @param coldPerSecond the limit in requests per second for a backend server in cold start; 0 for
 *     no limit
 * @param coldMillis the duration of a cold start in milliseconds
 * @param engine the capacity of its model engines; empty for plain services
 */
public record Service(
        ServiceName name,
        int maxConnections,
        double coldPerSecond,
        long coldMillis,
        Optional<EngineCapacity> engine) {}
