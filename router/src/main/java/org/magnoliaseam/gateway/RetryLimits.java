package org.magnoliaseam.gateway;

/**
 * Bounds the retries of all entry VMs together.
 *
 * @param ratio the retries as a fraction of first tries
 * @param slack the retries that may come on top at any time
 */
public record RetryLimits(double ratio, double slack) {}
