package org.magnoliaseam.pushback;

import java.util.Locale;

/**
 * Lists what is wrong with the value of a header field in which a backend server describes itself.
 */
public enum NoticeFault {

    /** The retry delay is not a number; it is ignored. */
    MALFORMED_DELAY,

    /** The retry delay is negative; it is ignored. */
    NEGATIVE_DELAY,

    /** The retry delay is longer than {@link PushbackNotice#MAX_MILLIS}, which replaces it. */
    EXCESSIVE_DELAY,

    /** There are several retry delays; the longest valid one counts. */
    SEVERAL_DELAYS,

    /** The retry delay came with another status than 503; it is ignored. */
    DELAY_WITH_OTHER_STATUS,

    /** The field for servers that are leaving has an unknown value; it is ignored. */
    UNKNOWN_LEAVING_VALUE;

    /**
     * Returns the name for logs.
     *
     * @return the name in lower case
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
