package org.magnoliaseam.testbed.harness;

import java.util.concurrent.TimeUnit;

/**
 * Holds when a request is due and how long its caller waits.
 *
 * @param nanos the time at which the request is due, on the clock of {@link System#nanoTime()}
 * @param timeoutMillis the time after the due time at which the caller gives up, in milliseconds
 */
public record CallSchedule(long nanos, long timeoutMillis) {

    /**
     * Creates the times of a request that is due now.
     *
     * @param timeoutMillis the time after the due time at which the caller gives up, in
     *     milliseconds
     * @return the due time and the timeout
     */
    public static CallSchedule now(long timeoutMillis) {
        return new CallSchedule(System.nanoTime(), timeoutMillis);
    }

    /**
     * Returns the time that remains until the caller gives up.
     *
     * @return the time in milliseconds, at least 1
     */
    public long remainingMillis() {
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
        return Math.max(1, timeoutMillis - elapsedMillis);
    }
}
