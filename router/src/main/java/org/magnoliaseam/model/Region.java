package org.magnoliaseam.model;

/**
 * Identifies a region: a group of failure domains with low network latency between them.
 *
 * @param value the identifier as written in the settings; matches {@link Identifiers#PATTERN}
 */
public record Region(String value) implements Comparable<Region> {

    /**
     * Validates the identifier.
     *
     * @throws IllegalArgumentException if the value is malformed
     */
    public Region {
        Identifiers.requireValid(value);
    }

    @Override
    public int compareTo(Region other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
