package org.magnoliaseam.model;

/**
 * Identifies a failure domain: a group of VMs that may fail together.
 *
 * @param value the identifier as it was published; {@link Identifiers#isText} accepts it
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

    /**
     * Validates the identifier.
     *
     * @throws IllegalArgumentException if the value is malformed
     */
    public FailureDomain {
        Identifiers.requireText(value);
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
