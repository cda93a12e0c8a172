package org.magnoliaseam.settings;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.ModelId;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.ServiceName;
import org.magnoliaseam.model.Tier;

/**
 * Describes one class of requests and its service level.
 *
 * @param id the name of the class
 * @param tier the priority of the class
 * @param targets the latency targets
 * @param objective the fraction of requests that must meet the targets, 0 to 1; the rest is the
 *     error budget
 * @param guaranteedShare the smallest fraction of started requests that belongs to the class under
 *     overload, 0 to 1
 * @param maxQueueWait the longest time that a request may wait in the queue before it is refused
 * @param backendServers the backend servers that may run the class
 * @param models the models of the class; empty for a plain service
 * @param service the plain service of the class; empty for model classes
 * @param methods the HTTP methods of the plain service that belong to the class
 * @param idempotent whether a request may be retried after a failure
 */
public record RequestClass(
        RequestClassId id,
        Tier tier,
        LatencyTargets targets,
        double objective,
        double guaranteedShare,
        Duration maxQueueWait,
        Set<BackendServerId> backendServers,
        Set<ModelId> models,
        Optional<ServiceName> service,
        Set<String> methods,
        boolean idempotent) {}
