package org.magnoliaseam.gateway;

/**
 * Limits the retries of all entry VMs together.
 *
 * @param ratio the retries as a fraction of first attempts
 * @param slack the additional retries that are allowed at any time
 */
public record RetryLimits(double ratio, double slack) {}
