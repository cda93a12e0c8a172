package org.magnoliaseam.placement;

/**
 * Decides when a waiting request is refused: as soon as no backend server is expected to answer it
 * before its caller gives up. The caller then learns at once that it was not run, and when the
 * requests before it will have been started.
 */
public final class RefusalRule {

    /** The shortest delay before a refused caller comes back, in milliseconds. */
    private static final double MIN_RETRY_MILLIS = 100;

    /** The longest delay before a refused caller comes back, in milliseconds. */
    private static final double MAX_RETRY_MILLIS = 5000;

    /** The fraction of the caller's remaining time that the delay may take. */
    private static final double REMAINING_SHARE = 0.3;

    /** The number of nanoseconds in a millisecond. */
    private static final double NANOS_PER_MILLI = 1e6;

    /** Prevents instances of this utility class. */
    private RefusalRule() {}

    /**
     * Tells whether a request can no longer be answered in time.
     *
     * @param nowNanos the local monotonic time
     * @param forecastMillis the forecast wait for a backend server, in milliseconds
     * @param serviceMillis the predicted time from the start to the first event or the answer, in
     *     milliseconds
     * @param deadlineNanos the local monotonic time at which the caller gives up
     * @return true if the request should be refused
     */
    public static boolean isHopeless(
            long nowNanos, double forecastMillis, double serviceMillis, long deadlineNanos) {
        return (forecastMillis + serviceMillis) * NANOS_PER_MILLI > deadlineNanos - nowNanos;
    }

    /**
     * Returns the shortest delay after which a refused caller should come back.
     *
     * @param forecastMillis the time until the waiting requests will have been started, in
     *     milliseconds
     * @param notBeforeMillis the time until the first backend server takes requests again, in
     *     milliseconds; 0 if one may take them at any moment
     * @return the delay in milliseconds
     */
    public static double shortestDelayMillis(double forecastMillis, double notBeforeMillis) {
        double base = Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, forecastMillis));
        return Math.max(base, notBeforeMillis);
    }

    /**
     * Returns the longest delay after which a refused caller should come back, so that time is left
     * for its next attempt.
     *
     * @param notBeforeMillis the time until the first backend server takes requests again, in
     *     milliseconds; 0 if one may take them at any moment
     * @param remainingMillis the time until the caller's deadline, in milliseconds
     * @return the delay in milliseconds; 0 if no time is left and a backend server may take
     *     requests
     */
    public static double longestDelayMillis(double notBeforeMillis, double remainingMillis) {
        double share = Math.max(0, REMAINING_SHARE * remainingMillis);
        return notBeforeMillis > 0 ? Math.max(share, notBeforeMillis + MAX_RETRY_MILLIS) : share;
    }
}
