package org.magnoliaseam.rollout;

/**
 * States whether this process may serve with its configuration.
 *
 * @param ready whether it may serve
 * @param reason the reason in a few words
 */
public record Readiness(boolean ready, String reason) {}
