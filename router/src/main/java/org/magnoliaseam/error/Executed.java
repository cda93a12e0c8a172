package org.magnoliaseam.error;

import java.util.Locale;

/** States whether a backend server ran a refused request. */
public enum Executed {
    /** No backend server received a byte of the request, or it was refused before the start. */
    NO,
    /** A backend server ran the request. */
    YES,
    /** A backend server may have run the request. */
    UNKNOWN;

    /**
     * Returns the spelling in responses to callers.
     *
     * @return the name in lower case
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
