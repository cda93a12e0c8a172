package org.magnoliaseam.gateway;

import org.magnoliaseam.time.MonotonicClock;

/**
 * Holds the components that each request in progress uses.
 *
 * @param pool chooses backend servers
 * @param port sends attempts to backend servers
 * @param log writes the log record of each request
 * @param clock the clock
 */
public record GatewayParts(
        ServerPool pool, AttemptSender port, RequestLog log, MonotonicClock clock) {}
