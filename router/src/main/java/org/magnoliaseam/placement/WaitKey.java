package org.magnoliaseam.placement;

/**
 * Holds what decides the place of a request among those that wait.
 *
 * @param priority the priority; 0 is the highest
 * @param account the client account; empty if the request has none
 * @param deadlineNanos the local monotonic time at which the first event or the answer is due at
 *     the latest
 */
public record WaitKey(int priority, String account, long deadlineNanos) {}
