package org.magnoliaseam.model;

/**
 * Identifies one request of a caller, across all attempts and entry VMs.
 *
 * @param value the identifier, sent to the caller as {@code X-Request-Id}
 */
public record RequestId(String value) {

    /**
     * Validates the identifier.
     *
     * @throws IllegalArgumentException if the value is malformed
     */
    public RequestId {
        Identifiers.requireValid(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
