package org.magnoliaseam.rollout;

/**
 * A scheduled read of a resource of the platform.
 *
 * @param atNanos the local monotonic time at which to read
 * @param waitSeconds the maximum time for which the platform may delay the answer until the
 *     resource changes, in seconds; 0 to answer at once
 */
public record PlatformRead(long atNanos, int waitSeconds) {}
