package org.magnoliaseam.model;

/**
 * Identifies a site: the entry VMs that share one configuration overlay.
 *
 * @param value the identifier as written in the settings; matches {@link Identifiers#PATTERN}
 */
public record Site(String value) implements Comparable<Site> {

    /**
     * Validates the identifier.
     *
     * @throws IllegalArgumentException if the value is malformed
     */
    public Site {
        Identifiers.requireValid(value);
    }

    @Override
    public int compareTo(Site other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
