package org.magnoliaseam.settings;

import java.net.URI;
import java.util.Optional;
import java.util.Set;
import org.magnoliaseam.model.BackendKind;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.ModelId;
import org.magnoliaseam.model.Region;
import org.magnoliaseam.model.ServiceName;

/**
 * Describes one backend server.
 *
 * @param id the name of the server
 * @param kind whether the server is a model engine or a plain service
 * @param address the base address, scheme and authority only
 * @param region the region of the server
 * @param failureDomain the failure domain of the server
 * @param models the models that a model engine serves
 * @param service the service that a plain service provides
 * @param warmLimit the largest number of concurrent requests when the server is warm
 * @param coldLimit the largest number of concurrent requests during a cold start
 * @param checksFencing whether the server rejects requests with an outdated fencing token
 */
public record BackendServer(
        BackendServerId id,
        BackendKind kind,
        URI address,
        Region region,
        FailureDomain failureDomain,
        Set<ModelId> models,
        Optional<ServiceName> service,
        int warmLimit,
        int coldLimit,
        boolean checksFencing) {}
