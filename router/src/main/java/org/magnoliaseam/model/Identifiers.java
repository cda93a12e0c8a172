package org.magnoliaseam.model;

import java.util.regex.Pattern;

/** Checks the syntax of identifiers. */
public final class Identifiers {

    /**
     * The accepted syntax: 1 to 128 letters, digits, dots, underscores and hyphens, starting with a
     * letter or digit.
     */
    public static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

    /** Prevents instances of this utility class. */
    private Identifiers() {}

    /**
     * Returns whether a text is a valid identifier.
     *
     * @param text the text to check; may be null
     * @return true if the text is valid
     */
    public static boolean isValid(String text) {
        return text != null && PATTERN.matcher(text).matches();
    }

    /**
     * Requires a text to be a valid identifier.
     *
     * @param text the text to check
     * @throws IllegalArgumentException if the text is malformed
     */
    public static void requireValid(String text) {
        if (!isValid(text)) {
            throw new IllegalArgumentException("malformed identifier");
        }
    }
}
