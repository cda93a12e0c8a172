package org.magnoliaseam.gossip;

import org.magnoliaseam.model.ServiceName;

/**
 * Holds the recent work of an entry VM for one kind of request.
 *
 * @param service the service
 * @param pauseMillis the longest pause between events that the requests tolerate, in milliseconds
 * @param work the work in prompt tokens, with exponential decay
 */
public record Demand(ServiceName service, long pauseMillis, double work) {}
