package org.magnoliaseam.testbed.store;

import java.util.List;
import org.magnoliaseam.testbed.http.HttpExchange;

/**
 * Holds what a backend server states about itself in its answers.
 *
 * @param leaving the value of the field for servers that are leaving; empty for no field
 * @param retryAfter the retry delays, each in a field of its own
 * @param refusal the status with which requests are refused; 0 if they are served
 */
public record StatedNotices(String leaving, List<String> retryAfter, int refusal) {

    /** States nothing. */
    public static final StatedNotices NONE = new StatedNotices("", List.of(), 0);

    /** Says that the server is leaving. */
    public static final StatedNotices LEAVING = new StatedNotices("1", List.of(), 0);

    /** The status of a server that wants no requests. */
    private static final int UNAVAILABLE = 503;

    /** Milliseconds per second. */
    private static final double MILLIS_PER_SECOND = 1000;

    /**
     * Refuses requests and asks for none for a time.
     *
     * @param seconds the time in seconds
     * @return the notices
     */
    public static StatedNotices pushback(String seconds) {
        return new StatedNotices("", List.of(seconds), UNAVAILABLE);
    }

    /**
     * Adds the header fields to an answer.
     *
     * @param exchange the answer
     */
    void addTo(HttpExchange exchange) {
        if (!leaving.isEmpty()) {
            exchange.with("Server-Leaving", leaving);
        }
        retryAfter.forEach(value -> exchange.add("Retry-After", value));
    }

    /**
     * Tells whether the server says that it is leaving.
     *
     * @return true if the value has that meaning
     */
    public boolean isLeaving() {
        return LEAVING.leaving().equals(leaving);
    }

    /**
     * Returns the time for which the server wants no requests.
     *
     * @return the time in milliseconds; 0 if the notices have another meaning
     */
    public long pushbackMillis() {
        boolean valid = refusal == UNAVAILABLE && retryAfter.size() == 1;
        return valid && retryAfter.get(0).matches("[0-9.]+")
                ? (long) (Double.parseDouble(retryAfter.get(0)) * MILLIS_PER_SECOND)
                : 0;
    }
}
