package org.magnoliaseam.caller;

import java.util.Locale;

/** Lists why this process ends a connection without an answer to a request on it. */
public enum UnansweredEnd {
    /** Receiving the request took longer than the time limit. */
    RECEIVE_LIMIT,
    /** No bytes of the request arrived for the idle time. */
    IDLE,
    /** The request was answered before its body was read, so the answer may be lost. */
    UNREAD_BODY,
    /** Handling the request failed with an exception. */
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
