package org.magnoliaseam.backend;

/** Tells which statuses a final response of HTTP may have. */
public final class FinalStatus {

    /** The detail of a failure for a response with another status. */
    public static final String INVALID = "The status of the answer is not valid.";

    /** The lowest status of a final response. */
    private static final int MIN = 200;

    /** The highest status of a final response. */
    private static final int MAX = 599;

    /** Prevents instances of this utility class. */
    private FinalStatus() {}

    /**
     * Tells whether a final response may have a status. Statuses below it belong to interim
     * responses, and HTTP defines none above it (RFC 9110, 15).
     *
     * @param status the status
     * @return true if so
     */
    public static boolean isValid(int status) {
        return status >= MIN && status <= MAX;
    }
}
