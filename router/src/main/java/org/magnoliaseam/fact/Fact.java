package org.magnoliaseam.fact;

import java.util.concurrent.TimeUnit;

/**
 * Holds a value with its version and the local time at which its source last confirmed it.
 *
 * @param value the value
 * @param version the version given by its source; higher is newer
 * @param confirmedNanos the local monotonic time of the last confirmation
 * @param <T> the type of the value
 */
public record Fact<T>(T value, long version, long confirmedNanos) {

    /**
     * Merges a newly received value into this one.
     *
     * @param newValue the received value
     * @param newVersion the version of the received value
     * @param nowNanos the local monotonic time
     * @return the received value if its version is higher, this value confirmed again if the
     *     version is the same, or this value unchanged if the version is lower
     */
    public Fact<T> confirm(T newValue, long newVersion, long nowNanos) {
        if (newVersion < version) {
            return this;
        }
        T kept = newVersion == version ? value : newValue;
        return new Fact<>(kept, newVersion, Math.max(confirmedNanos, nowNanos));
    }

    /**
     * Returns whether the value is recent enough to be used.
     *
     * @param maxAgeMillis the maximum age in milliseconds
     * @param pauses detects pauses of this process
     * @param nowNanos the local monotonic time
     * @return true if it was confirmed recently and since the last pause
     */
    public boolean isFresh(long maxAgeMillis, PauseDetector pauses, long nowNanos) {
        return nowNanos - confirmedNanos <= TimeUnit.MILLISECONDS.toNanos(maxAgeMillis)
                && pauses.notPausedSince(confirmedNanos, nowNanos);
    }
}
