package org.magnoliaseam.model;

/**
 * Identifies a backend server.
 *
 * @param value the identifier as it was published; {@link Identifiers#isText} accepts it
 */
public record BackendServerId(String value) implements Comparable<BackendServerId> {

    /**
     * Validates the identifier.
     *
     * @throws IllegalArgumentException if the value is malformed
     */
    public BackendServerId {
        Identifiers.requireText(value);
    }

    @Override
    public int compareTo(BackendServerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
