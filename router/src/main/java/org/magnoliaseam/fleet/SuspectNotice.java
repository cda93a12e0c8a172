package org.magnoliaseam.fleet;

/**
 * Notifies peers of a request that was running when a backend server crashed.
 *
 * @param fingerprint the fingerprint of the request: a keyed hash that does not reveal its content
 * @param crashes the number of crashes during which the request ran; 0 if it has completed since
 * @param ageMillis the time since the last crash or completion in milliseconds
 */
public record SuspectNotice(String fingerprint, int crashes, long ageMillis) {}
