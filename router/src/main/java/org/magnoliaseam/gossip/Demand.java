package org.magnoliaseam.gossip;

import org.magnoliaseam.model.ServiceName;

/**
 * Holds the work that one kind of request brought to an entry VM lately.
 *
 * @param service the service
 * @param pauseMillis the longest pause that the requests bear, in milliseconds
 * @param work the work in prompt tokens
 */
public record Demand(ServiceName service, long pauseMillis, double work) {}
