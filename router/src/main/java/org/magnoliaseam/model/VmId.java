package org.magnoliaseam.model;

/**
 * Identifies a virtual machine (VM) that runs a router process or a backend server.
 *
 * @param value the identifier as written in the settings; matches {@link Identifiers#PATTERN}
 */
public record VmId(String value) implements Comparable<VmId> {

    /**
     * Validates the identifier.
     *
     * @throws IllegalArgumentException if the value is malformed
     */
    public VmId {
        Identifiers.requireValid(value);
    }

    @Override
    public int compareTo(VmId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
