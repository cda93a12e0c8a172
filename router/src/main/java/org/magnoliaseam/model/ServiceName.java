package org.magnoliaseam.model;

/**
 * Identifies a service by the name under which callers reach it.
 *
 * @param value the identifier as it was published; {@link Identifiers#isText} accepts it
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

    /**
     * Validates the identifier.
     *
     * @throws IllegalArgumentException if the value is malformed
     */
    public ServiceName {
        Identifiers.requireText(value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
