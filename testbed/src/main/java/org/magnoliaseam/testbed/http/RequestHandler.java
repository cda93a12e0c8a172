package org.magnoliaseam.testbed.http;

/** Answers the requests to a stand-in. */
@FunctionalInterface
public interface RequestHandler {

    /**
     * Answers one request, synchronously or later.
     *
     * @param exchange the request and its answer
     * @throws IllegalArgumentException if the request is malformed; the server answers 400
     */
    void handle(HttpExchange exchange);
}
