package org.magnoliaseam.testbed.harness;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Holds the error that the router reports in an answer.
 *
 * @param kind the kind
 * @param message the error message
 * @param executed whether the request was run: no, yes or unknown
 * @param retryAfterSeconds the delay before the next attempt
 * @param requestId the id of the request
 */
public record CallerError(
        String kind, String message, String executed, int retryAfterSeconds, String requestId) {

    /**
     * Reads the error of an answer.
     *
     * @param node the value of the field {@code error}
     * @return the error
     */
    static CallerError of(JsonNode node) {
        return new CallerError(
                node.path("kind").asText(),
                node.path("message").asText(),
                node.path("executed").asText(),
                node.path("retryAfterSeconds").asInt(),
                node.path("requestId").asText());
    }
}
