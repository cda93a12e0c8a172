package org.magnoliaseam.catalog;

import java.net.InetSocketAddress;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.ServiceName;

/**
 * Holds the published entry of one backend server.
 *
 * @param id the id of the backend server
 * @param service the service that it belongs to
 * @param address its address, which may be reassigned to another backend server later
 * @param failureDomain its failure domain
 * @param slots the largest number of requests that it runs at once
 * @param draining whether it is shutting down and accepts no new requests
 * @param coldMillis the remaining time of its cold start in milliseconds
 * @param startMark a number that grows with each start under the same id; 0 if unknown
 */
public record ServerEntry(
        BackendServerId id,
        ServiceName service,
        InetSocketAddress address,
        FailureDomain failureDomain,
        int slots,
        boolean draining,
        long coldMillis,
        long startMark) {}
