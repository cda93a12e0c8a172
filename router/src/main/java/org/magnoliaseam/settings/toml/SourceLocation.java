package org.magnoliaseam.settings.toml;

import org.magnoliaseam.settings.Fault;

/**
 * Identifies a line of a file.
 *
 * @param file the name of the file
 * @param line the line, counted from 1
 */
public record SourceLocation(String file, int line) {

    /**
     * Creates a fault at this line.
     *
     * @param key the dotted key
     * @param reason one sentence that states what is wrong
     * @return the fault
     */
    public Fault fault(String key, String reason) {
        return new Fault(file, line, key, reason);
    }
}
