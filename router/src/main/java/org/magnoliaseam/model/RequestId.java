package org.magnoliaseam.model;

/**
 * Identifies one request of a caller, across all attempts and entry VMs.
 *
 * @param value the identifier, sent to the caller as {@code X-Request-Id}; {@link
 *     Identifiers#isText} accepts it
 */
public record RequestId(String value) {

    /**
     * Validates the identifier.
     *
     * @throws IllegalArgumentException if the value is malformed
     */
    public RequestId {
        Identifiers.requireText(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
