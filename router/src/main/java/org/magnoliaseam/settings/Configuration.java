package org.magnoliaseam.settings;

import java.util.Map;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.RequestClassId;

/**
 * Holds one validated configuration of a site: base file and overlay merged. It is immutable.
 *
 * @param classes the request classes by name
 * @param backendServers the backend servers by name
 * @param accounts the client accounts by name
 * @param outOfService the parts of the site that take no new work
 * @param tuning the limits of routing
 * @param digest the SHA-256 digest of the merged configuration, in lower-case hexadecimal
 */
public record Configuration(
        Map<RequestClassId, RequestClass> classes,
        Map<BackendServerId, BackendServer> backendServers,
        Map<ClientAccountId, ClientAccount> accounts,
        OutOfService outOfService,
        RouterTuning tuning,
        String digest) {}
