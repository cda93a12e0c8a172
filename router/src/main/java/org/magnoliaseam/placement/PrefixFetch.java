package org.magnoliaseam.placement;

/**
 * Decides whether an engine fetches cached prompt parts from another engine rather than processing
 * them again. Answers bursts in which the engine that caches a part has no room.
 */
public final class PrefixFetch {

    /** The time of a transfer beyond that of its bytes, in milliseconds. */
    private static final double SETUP_MILLIS = 5;

    /**
     * The saving that pays for a fetch, as a multiple of the time of the transfer. Transfers of an
     * engine run one after another, so that one may wait for another of about the same time.
     */
    private static final double MIN_SAVING = 2;

    /** Prevents instances of this utility class. */
    private PrefixFetch() {}

    /**
     * Returns the time of a fetch.
     *
     * @param transferMillis the time to transfer the bytes, in milliseconds
     * @return the time in milliseconds
     */
    public static double millis(double transferMillis) {
        return SETUP_MILLIS + transferMillis;
    }

    /**
     * Tells whether a fetch is faster than processing.
     *
     * @param transferMillis the time to transfer the bytes, in milliseconds
     * @param processingMillis the time to process the same prompt parts, in milliseconds
     * @return true if the engine should fetch them
     */
    public static boolean pays(double transferMillis, double processingMillis) {
        return processingMillis > MIN_SAVING * millis(transferMillis);
    }
}
