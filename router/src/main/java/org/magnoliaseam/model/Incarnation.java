package org.magnoliaseam.model;

/**
 * Identifies one run of a router process by a random number chosen when the process starts.
 *
 * @param value the random number
 */
public record Incarnation(long value) {

    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
