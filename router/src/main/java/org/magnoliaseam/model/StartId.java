package org.magnoliaseam.model;

/**
 * Identifies one run of a backend server; it changes with each restart of the server.
 *
 * @param value the text that the backend server reports
 */
public record StartId(String value) {

    @Override
    public String toString() {
        return value;
    }
}
