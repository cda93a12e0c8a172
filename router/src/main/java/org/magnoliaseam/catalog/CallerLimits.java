package org.magnoliaseam.catalog;

/**
 * Bounds what a caller may send.
 *
 * @param maxBodyBytes the largest body in bytes
 * @param idleMillis the time that a connection may stay idle in milliseconds
 */
public record CallerLimits(int maxBodyBytes, long idleMillis) {}
