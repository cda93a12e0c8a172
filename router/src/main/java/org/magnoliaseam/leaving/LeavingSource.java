package org.magnoliaseam.leaving;

import java.util.Locale;

/** Lists the sources from which an entry VM learns that a backend server leaves. */
public enum LeavingSource {

    /** The entry that the platform publishes. */
    PUBLISHER,

    /** An answer of the backend server. */
    ANSWER,

    /** Another entry VM. */
    PEER;

    /**
     * Returns the name for logs.
     *
     * @return the name in lower case
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
