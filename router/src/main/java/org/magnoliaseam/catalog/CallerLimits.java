package org.magnoliaseam.catalog;

/**
 * Holds the limits for requests and connections of callers.
 *
 * @param maxBodyBytes the largest request body in bytes
 * @param idleMillis the time in milliseconds that a connection may stay idle
 */
public record CallerLimits(int maxBodyBytes, long idleMillis) {}
