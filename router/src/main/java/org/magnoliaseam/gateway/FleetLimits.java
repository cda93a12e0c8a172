package org.magnoliaseam.gateway;

/**
 * Holds the limits that all entry VMs keep together.
 *
 * @param vms the entry VMs that may live, which share each limit
 * @param retryRatio the retries allowed as a fraction of first tries
 */
public record FleetLimits(int vms, double retryRatio) {}
