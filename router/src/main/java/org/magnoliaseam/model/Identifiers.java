package org.magnoliaseam.model;

import java.util.regex.Pattern;

/** Checks the syntax of identifiers and of names that callers and operators choose freely. */
public final class Identifiers {

    /**
     * The accepted syntax: 1 to 128 letters, digits, dots, underscores and hyphens, starting with a
     * letter or digit.
     */
    public static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

    /** The accepted syntax of names that are chosen freely: no control characters except tabs. */
    private static final Pattern TEXT = Pattern.compile("[^\\x00-\\x08\\x0A-\\x1F\\x7F]+");

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

    /**
     * Returns whether a text can name something that callers or operators name as they like.
     *
     * @param text the text to check; may be null
     * @return true if the text is not empty and a header field can hold it
     */
    public static boolean isText(String text) {
        return text != null && TEXT.matcher(text).matches();
    }

    /**
     * Requires a text to be one that {@link #isText} accepts.
     *
     * @param text the text to check
     * @throws IllegalArgumentException if it is not
     */
    public static void requireText(String text) {
        if (!isText(text)) {
            throw new IllegalArgumentException("a name is empty or has control characters");
        }
    }
}
