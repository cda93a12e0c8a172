package org.magnoliaseam.platform;

import java.util.regex.Pattern;

/** Reads the header field in which a caller states how long it waits, in milliseconds. */
final class CallerDeadline {

    /** A decimal number; the bounded lengths limit the work of parsing. */
    private static final Pattern NUMBER = Pattern.compile("[+-]?\\d{1,18}(?:\\.\\d{1,20})?");

    /** Prevents instances of this utility class. */
    private CallerDeadline() {}

    /**
     * Reads the field. Parts of a millisecond are cut off, so that no time is added.
     *
     * @param text the value of the field in milliseconds; null if it is absent
     * @param fallback the result for an absent or malformed value, in milliseconds
     * @return the time in milliseconds, at least 0
     */
    static long millis(String text, long fallback) {
        if (text == null || !NUMBER.matcher(text.strip()).matches()) {
            return fallback;
        }
        return Math.max(0, (long) Double.parseDouble(text.strip()));
    }
}
