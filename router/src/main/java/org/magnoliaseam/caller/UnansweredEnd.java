package org.magnoliaseam.caller;

import java.util.Locale;

/** Lists why a request fails at its connection, mostly without an answer. */
public enum UnansweredEnd {
    /** Receiving the request took longer than the time limit. */
    RECEIVE_LIMIT,
    /** No bytes of the request arrived for the idle time. */
    IDLE,
    /** The request was answered before its body was read, so the answer may be lost. */
    UNREAD_BODY,
    /** Handling the request failed with an exception; it was refused if that was possible. */
    EXCEPTION;

    /**
     * Returns the name in logs and metrics.
     *
     * @return the name in lower case
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
