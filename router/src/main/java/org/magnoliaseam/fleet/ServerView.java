package org.magnoliaseam.fleet;

import java.util.Optional;
import org.magnoliaseam.settings.BackendServer;

/**
 * Holds the state of a backend server that a decision is based on.
 *
 * @param server the settings of the server
 * @param slots the number of requests that this entry VM may have running on the server now; 0
 *     stops new work
 * @param cold whether the server is in cold start
 * @param slotsReason the reason for the number of slots, in a few words
 * @param report the last load report, or empty before the first
 * @param firstTokenMillis the smoothed time to the first token in milliseconds; 0 if unknown
 * @param tokenMillis the smoothed time between tokens in milliseconds; 0 if unknown
 */
public record ServerView(
        BackendServer server,
        int slots,
        boolean cold,
        String slotsReason,
        Optional<LoadReport> report,
        double firstTokenMillis,
        double tokenMillis) {}
