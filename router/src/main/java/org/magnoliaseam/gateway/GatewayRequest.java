package org.magnoliaseam.gateway;

import java.util.List;
import java.util.Optional;
import org.magnoliaseam.catalog.Account;
import org.magnoliaseam.catalog.Route;
import org.magnoliaseam.catalog.Service;
import org.magnoliaseam.exchange.Header;
import org.magnoliaseam.model.RequestId;

/**
 * Holds an authenticated request with its whole body.
 *
 * @param id the id of the request
 * @param account the client account; empty if the route is open
 * @param route the route
 * @param service the service that runs the request
 * @param catalogVersion the version of the catalog that route and account come from
 * @param method the HTTP method
 * @param target the path with query, as the caller sent it
 * @param headers the header fields to pass on
 * @param body the body
 * @param prompt the prompt; {@link Prompt#NONE} for plain services
 * @param lastEventId the id of the last event that the caller has; empty to start at the beginning
 * @param arrivedNanos the local monotonic time of arrival
 * @param deadlineNanos the local monotonic time at which the time limit of the caller or the route
 *     ends
 */
public record GatewayRequest(
        RequestId id,
        Optional<Account> account,
        Route route,
        Service service,
        long catalogVersion,
        String method,
        String target,
        List<Header> headers,
        byte[] body,
        Prompt prompt,
        String lastEventId,
        long arrivedNanos,
        long deadlineNanos) {

    /** The number of route priorities within one account priority. */
    private static final int ROUTE_PRIORITIES = 3;

    /** The number of nanoseconds in a millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * Returns the priority of the request; 0 is the highest. The priority of the account takes
     * precedence over the priority of the route.
     *
     * @return the priority
     */
    public int priority() {
        int own = Math.max(0, Math.min(ROUTE_PRIORITIES - 1, route.priority()));
        int accountPriority = account.map(found -> found.priority().orElse(0)).orElse(0);
        return accountPriority * ROUTE_PRIORITIES + own;
    }

    /**
     * Returns the name of the client account.
     *
     * @return the name; empty if the route is open
     */
    String accountName() {
        return account.map(found -> found.id().value()).orElse("");
    }

    /**
     * Returns the local monotonic time at which the caller gives up if it has no answer, or no
     * event of a stream, by then.
     *
     * @return the local monotonic time
     */
    public long firstEventDeadlineNanos() {
        return eventDeadlineNanos(arrivedNanos);
    }

    /**
     * Returns the local monotonic time at which the caller gives up without a further event.
     *
     * @param lastNanos the local monotonic time of the last event, or of the arrival
     * @return the local monotonic time
     */
    long eventDeadlineNanos(long lastNanos) {
        long patience = lastNanos + route.patienceMillis() * NANOS_PER_MILLI;
        return patience - deadlineNanos < 0 ? patience : deadlineNanos;
    }
}
