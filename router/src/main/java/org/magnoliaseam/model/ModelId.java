package org.magnoliaseam.model;

/**
 * Identifies a model.
 *
 * @param value the identifier as written in the settings; matches {@link Identifiers#PATTERN}
 */
public record ModelId(String value) implements Comparable<ModelId> {

    /**
     * Validates the identifier.
     *
     * @throws IllegalArgumentException if the value is malformed
     */
    public ModelId {
        Identifiers.requireValid(value);
    }

    @Override
    public int compareTo(ModelId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
