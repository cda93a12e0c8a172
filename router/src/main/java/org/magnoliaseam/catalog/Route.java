package org.magnoliaseam.catalog;

import java.util.List;
import org.magnoliaseam.model.ServiceName;

/**
 * Describes how requests for one host and path prefix are served.
 *
 * @param name the name for logs and metrics
 * @param host the host in the requests of callers, in lower case
 * @param prefix the path prefix; begins and ends with a slash
 * @param kind the kind of the requests, which determines whether they may be repeated
 * @param services the services that share the requests, at least one
 * @param maxTries the largest number of backend servers that may run one request
 * @param timeoutMillis the time limit for an answer in milliseconds
 * @param patienceMillis the time without an answer or event after which callers give up, in
 *     milliseconds
 * @param targetMillis the target for the time to the answer, or to the first event of a stream, in
 *     milliseconds
 * @param pauseTargetMillis the target for the longest pause between events in milliseconds; 0 if
 *     not a stream
 * @param priority the priority, 0 for the highest
 * @param open whether callers need no key
 * @param resumable whether a stream may continue on another backend server
 */
public record Route(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        List<WeightedService> services,
        int maxTries,
        long timeoutMillis,
        long patienceMillis,
        long targetMillis,
        long pauseTargetMillis,
        int priority,
        boolean open,
        boolean resumable) {

    /**
     * Tells whether a request of the route may run more than once.
     *
     * @return true if it is idempotent
     */
    public boolean idempotent() {
        return kind.idempotent(resumable);
    }

    /**
     * Selects the service of a request by weight.
     *
     * @param fraction a number from 0 to 1 that is fixed for the request
     * @return the service
     */
    public ServiceName service(double fraction) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double remaining = fraction * total;
        for (WeightedService candidate : services) {
            remaining -= candidate.weight();
            if (remaining < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
