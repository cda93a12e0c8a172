package org.magnoliaseam.pushback;

import java.util.Locale;

/**
 * Lists what is wrong with the value of a header field in which a backend server describes itself.
 */
public enum NoticeFault {

    /** The retry delay is not a number; it is ignored. */
    MALFORMED_DELAY("retry_delay"),

    /** The retry delay is negative; it is ignored. */
    NEGATIVE_DELAY("retry_delay"),

    /** The retry delay is longer than {@link PushbackNotice#MAX_MILLIS}, which replaces it. */
    EXCESSIVE_DELAY("retry_delay"),

    /** There are several retry delays; the longest valid one counts. */
    SEVERAL_DELAYS("retry_delay"),

    /** The retry delay came with another status than 503; it is ignored. */
    DELAY_WITH_OTHER_STATUS("retry_delay"),

    /** The field for servers that are leaving has an unknown value; it is ignored. */
    UNKNOWN_LEAVING_VALUE("leaving"),

    /** The load has too few or too many values or one that is no count; it is ignored. */
    MALFORMED_LOAD("load"),

    /** The factor of a valid load is no number or out of bounds; only the factor is ignored. */
    UNUSABLE_FACTOR("load_factor");

    /** The name of the field for logs. */
    private final String mField;

    /**
     * Creates a fault.
     *
     * @param field the name of the field for logs
     */
    NoticeFault(String field) {
        mField = field;
    }

    /**
     * Returns the field that has the fault.
     *
     * @return the name for logs
     */
    public String field() {
        return mField;
    }

    /**
     * Returns the name for logs.
     *
     * @return the name in lower case
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
