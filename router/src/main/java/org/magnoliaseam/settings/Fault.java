package org.magnoliaseam.settings;

/**
 * Describes one fault in a settings file.
 *
 * @param file the name of the file
 * @param line the line, counted from 1; 0 if the fault belongs to no line
 * @param key the dotted key
 * @param reason one sentence that states what is wrong
 */
public record Fault(String file, int line, String key, String reason) {

    /**
     * Formats the fault as one line.
     *
     * @return file, line, key and reason
     */
    public String text() {
        return file + ":" + line + ": " + key + ": " + reason;
    }
}
