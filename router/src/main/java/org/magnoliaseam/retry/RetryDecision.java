package org.magnoliaseam.retry;

/**
 * States whether a request may be retried or hedged.
 *
 * @param allowed whether it may
 * @param reason the reason in a few words
 */
public record RetryDecision(boolean allowed, String reason) {}
