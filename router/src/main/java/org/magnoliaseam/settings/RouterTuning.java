package org.magnoliaseam.settings;

import java.time.Duration;

/**
 * Holds the site-wide routing limits that operators may change.
 *
 * @param queueLimit the largest number of queued requests of each tier at one entry VM
 * @param retryBudget the allowed retries as a fraction of first attempts, 0 to 1
 * @param ticketTtl the time for which a ticket stays valid
 * @param suspectTtl the time for which a request that crashed a backend server is refused
 * @param vmListLag the longest expected delay until all entry VMs have received a changed VM list;
 *     the change takes full effect after this time
 */
public record RouterTuning(
        int queueLimit,
        double retryBudget,
        Duration ticketTtl,
        Duration suspectTtl,
        Duration vmListLag) {}
