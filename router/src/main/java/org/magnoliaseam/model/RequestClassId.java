package org.magnoliaseam.model;

/**
 * Identifies a request class.
 *
 * @param value the identifier as written in the settings; matches {@link Identifiers#PATTERN}
 */
public record RequestClassId(String value) implements Comparable<RequestClassId> {

    /**
     * Validates the identifier.
     *
     * @throws IllegalArgumentException if the value is malformed
     */
    public RequestClassId {
        Identifiers.requireValid(value);
    }

    /**
     * Returns a short key for messages between entry VMs. If two classes share a key, the hints
     * based on it become less accurate, with no other effect.
     *
     * @return the key, the same in every process
     */
    public int shortKey() {
        return value.hashCode();
    }

    @Override
    public int compareTo(RequestClassId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
