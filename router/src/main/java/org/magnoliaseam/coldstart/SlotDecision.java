package org.magnoliaseam.coldstart;

/**
 * States how many requests this entry VM may have running on a backend server now.
 *
 * @param slots the number of requests; 0 stops new work
 * @param cold whether the server is in cold start
 * @param reason the reason in a few words
 */
public record SlotDecision(int slots, boolean cold, String reason) {}
