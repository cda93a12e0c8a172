package org.magnoliaseam.gateway;

import java.util.Locale;

/** Lists the reasons for which an attempt goes on though its backend server is silent. */
enum KeptReason {
    /** The request must not run twice. */
    NOT_REPEATABLE,
    /** The route allows no further attempt. */
    ATTEMPTS,
    /** No other backend server is expected to answer before the caller gives up. */
    TIME,
    /** No other backend server that answers has room. */
    NO_SERVER,
    /** The engine chosen instead was too busy. */
    BUSY,
    /** The retry budget allowed no further attempt. */
    BUDGET;

    /**
     * Returns the name of the reason in logs.
     *
     * @return the name in lower case
     */
    String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
