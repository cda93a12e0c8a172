package org.magnoliaseam.suspect;

import java.util.concurrent.TimeUnit;

/** Converts local times to the ages that notices carry, since the clocks of entry VMs differ. */
final class Ages {

    /** Prevents instances of this utility class. */
    private Ages() {}

    /**
     * Converts a local time to an age.
     *
     * @param nanos the local monotonic time
     * @param nowNanos the local monotonic time now
     * @return the age in milliseconds
     */
    static long millis(long nanos, long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(Math.max(0, nowNanos - nanos));
    }

    /**
     * Converts an age to a local time.
     *
     * @param ageMillis the age in milliseconds; now if it is negative
     * @param nowNanos the local monotonic time now
     * @return the local monotonic time
     */
    static long nanos(long ageMillis, long nowNanos) {
        return nowNanos - TimeUnit.MILLISECONDS.toNanos(Math.max(0, ageMillis));
    }
}
