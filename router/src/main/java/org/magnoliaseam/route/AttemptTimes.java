package org.magnoliaseam.route;

import java.util.Optional;
import org.magnoliaseam.model.StartId;

/**
 * Holds the start ID and the times that one attempt reveals about its backend server.
 *
 * @param startId the start ID of the backend server; empty if the answer does not contain it
 * @param firstTokenMillis the time from sending to the first token, or to the head of the answer of
 *     a plain service, in milliseconds
 * @param tokenMillis the mean time between tokens in milliseconds; 0 if unknown
 */
public record AttemptTimes(
        Optional<StartId> startId, double firstTokenMillis, double tokenMillis) {}
