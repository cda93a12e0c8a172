package org.magnoliaseam.testbed.harness;

import java.util.Optional;

/**
 * Describes a request of a caller to a plain service.
 *
 * @param key the key of the client account
 * @param method the HTTP method
 * @param path the path, beginning with {@code /services/NAME/}
 * @param body the body, empty for none
 * @param ticket the ticket, if the class needs one
 */
public record ServiceCall(
        String key, String method, String path, String body, Optional<String> ticket) {

    /**
     * Returns a look-up.
     *
     * @param key the key of the client account
     * @param path the path
     * @return the call
     */
    public static ServiceCall get(String key, String path) {
        return new ServiceCall(key, "GET", path, "", Optional.empty());
    }

    /**
     * Returns an order.
     *
     * @param key the key of the client account
     * @param path the path
     * @param body the body
     * @return the call
     */
    public static ServiceCall post(String key, String path, String body) {
        return new ServiceCall(key, "POST", path, body, Optional.empty());
    }

    /**
     * Returns the same call with a ticket.
     *
     * @param value the ticket
     * @return the call
     */
    public ServiceCall with(String value) {
        return new ServiceCall(key, method, path, body, Optional.of(value));
    }
}
