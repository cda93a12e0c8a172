package org.magnoliaseam.fleet;

import org.magnoliaseam.model.Tier;

/**
 * Summarizes the load of one tier at one entry VM.
 *
 * @param tier the tier
 * @param queued the number of requests in the queue
 * @param oldestWaitMillis the waiting time of the oldest request in the queue in milliseconds
 * @param running the number of requests of the tier that are running
 */
public record TierLoad(Tier tier, int queued, long oldestWaitMillis, int running) {}
