package org.magnoliaseam.catalog;

import java.util.List;
import org.magnoliaseam.model.ServiceName;

/**
 * Describes the requests of one host and path prefix and how they are served.
 *
 * @param name the name for logs and metrics
 * @param host the host that callers name, in lower case
 * @param prefix the beginning of the path; begins and ends with a slash
 * @param kind what may be repeated
 * @param services the services that share the requests, at least one
 * @param maxTries the largest number of backend servers that may run one request
 * @param timeoutMillis the longest time to an answer in milliseconds
 * @param targetMillis the time to the answer, for streams to the first event, in milliseconds
 * @param pauseTargetMillis the longest pause between events in milliseconds; 0 if not a stream
 * @param priority the rank, 0 first
 * @param open whether callers need no key
 * @param resumable whether a stream may go on at another backend server
 */
public record Route(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        List<WeightedService> services,
        int maxTries,
        long timeoutMillis,
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
     * Chooses the service of a request.
     *
     * @param draw a number from 0 to 1 that belongs to the request
     * @return the service
     */
    public ServiceName service(double draw) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double rest = draw * total;
        for (WeightedService candidate : services) {
            rest -= candidate.weight();
            if (rest < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
