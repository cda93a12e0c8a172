package org.magnoliaseam.catalog;

import java.net.InetSocketAddress;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.ServiceName;

/**
 * Holds what is published about one backend server.
 *
 * @param id the backend server
 * @param service the service that it belongs to
 * @param address its address, which another backend server may take over later
 * @param failureDomain its failure domain
 * @param slots the requests that it runs at once
 * @param draining whether it is leaving and takes no new work
 * @param coldMillis how much longer it stays in cold start, in milliseconds
 * @param startMark a number that differs between two starts under the same id
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
