package org.magnoliaseam.model;

/**
 * Identifies a client account.
 *
 * @param value the identifier as it was published; {@link Identifiers#isText} accepts it
 */
public record ClientAccountId(String value) implements Comparable<ClientAccountId> {

    /**
     * Validates the identifier.
     *
     * @throws IllegalArgumentException if the value is malformed
     */
    public ClientAccountId {
        Identifiers.requireText(value);
    }

    @Override
    public int compareTo(ClientAccountId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
