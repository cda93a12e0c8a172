package org.magnoliaseam.gateway;

import org.magnoliaseam.time.MonotonicClock;

/**
 * Holds what each request in progress uses.
 *
 * @param board chooses backend servers
 * @param port sends tries
 * @param log takes the account of each request
 * @param clock the clock
 */
public record GatewayParts(ServerBoard board, TryPort port, RequestLog log, MonotonicClock clock) {}
