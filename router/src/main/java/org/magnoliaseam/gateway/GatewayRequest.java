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
 * @param id the request
 * @param account the client account; empty if the route is open
 * @param route the route
 * @param service the service that runs the request
 * @param catalogVersion the version that decided route and account
 * @param method the HTTP method
 * @param target the path with query, as the caller sent it
 * @param headers the header fields to pass on
 * @param body the body
 * @param prompt the prompt; {@link Prompt#NONE} for plain services
 * @param lastEventId the last event that the caller has; empty if it starts from the beginning
 * @param arrivedNanos the local monotonic time of arrival
 * @param deadlineNanos the local monotonic time at which the caller or the route gives up
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

    /** The ranks of routes that are told apart within the rank of an account. */
    private static final int ROUTE_RANKS = 3;

    /** The share of the remaining time after which a refused caller may come back. */
    private static final double COME_BACK_SHARE = 0.2;

    /** The longest delay before a refused caller may come back, in milliseconds. */
    private static final long COME_BACK_MILLIS = 100;

    /** The nanoseconds of a millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * Returns the rank of the request, 0 first: the rank of the account goes before the rank of the
     * route.
     *
     * @return the rank
     */
    public int priority() {
        int own = Math.max(0, Math.min(ROUTE_RANKS - 1, route.priority()));
        int accountRank = account.map(found -> found.priority().orElse(0)).orElse(0);
        return accountRank * ROUTE_RANKS + own;
    }

    /**
     * Returns the delay after which a refused caller may come back.
     *
     * @param nowNanos the local monotonic time
     * @return the delay in milliseconds; 0 if no time is left
     */
    long comeBackMillis(long nowNanos) {
        long left = (deadlineNanos - nowNanos) / NANOS_PER_MILLI;
        return Math.max(0, Math.min(COME_BACK_MILLIS, (long) (left * COME_BACK_SHARE)));
    }
}
