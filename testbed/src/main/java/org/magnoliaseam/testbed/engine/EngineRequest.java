package org.magnoliaseam.testbed.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.UUID;
import org.magnoliaseam.testbed.http.HttpExchange;
import org.magnoliaseam.testbed.http.Json;

/**
 * Holds what a chat request asks for.
 *
 * @param id the request
 * @param answerId the identifier in the answer; it differs only in crossed answers
 * @param priority the priority; 1 is the highest
 * @param offset the tokens that the caller already has
 * @param answer the answer
 * @param prompt the messages in canonical form
 */
record EngineRequest(
        String id, String answerId, int priority, int offset, EngineAnswer answer, String prompt) {

    /** The priority of requests that name none. */
    private static final int DEFAULT_PRIORITY = 5;

    /** The marker in a message that crashes the engine. */
    private static final String CRASH_MARKER = "[[crash]]";

    /**
     * Reads a request.
     *
     * @param exchange the exchange
     * @param answers the source of answers
     * @return the request
     * @throws IllegalArgumentException if the request is malformed
     */
    static EngineRequest read(HttpExchange exchange, EngineAnswers answers) {
        JsonNode body = Json.tree(exchange.body());
        if (!body.path("messages").isArray()) {
            throw new IllegalArgumentException("The request has no messages array");
        }
        String id = exchange.header("X-Request-Id").orElse(UUID.randomUUID().toString());
        return new EngineRequest(
                id,
                id,
                exchange.header("X-Priority").map(Integer::parseInt).orElse(DEFAULT_PRIORITY),
                exchange.header("X-Resume-Offset").map(Integer::parseInt).orElse(0),
                answers.answer(body),
                Json.canonical(body.path("messages")));
    }

    /**
     * Returns the request with the identifier of another one in its answer.
     *
     * @return the request
     */
    EngineRequest crossed() {
        return new EngineRequest(id, "crossed-" + id, priority, offset, answer, prompt);
    }

    /**
     * Tells whether the request crashes the engine.
     *
     * @return whether it does
     */
    boolean crashes() {
        return prompt.contains(CRASH_MARKER);
    }
}
