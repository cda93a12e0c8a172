package org.magnoliaseam.time;

/** Provides a time that never goes backwards, for measuring durations within this process. */
@FunctionalInterface
public interface MonotonicClock {

    /**
     * Returns the current time.
     *
     * @return the nanoseconds since a fixed but unspecified time in this process
     */
    long nanos();
}
