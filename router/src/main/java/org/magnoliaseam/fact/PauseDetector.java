package org.magnoliaseam.fact;

import java.util.concurrent.TimeUnit;

/**
 * Detects pauses of this process from gaps between its ticks. Not thread-safe: callers must hold a
 * lock.
 */
public final class PauseDetector {

    /** The maximum gap between two ticks that does not count as a pause, in milliseconds. */
    public static final long PAUSE_LIMIT_MILLIS = 500;

    /** The maximum gap between two ticks that does not count as a pause, in nanoseconds. */
    private static final long PAUSE_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(PAUSE_LIMIT_MILLIS);

    /** The local monotonic time of the last tick. */
    private long mLastTickNanos;

    /** The local monotonic time at which the last pause ended, or the start of the process. */
    private long mResumedNanos;

    /** The number of pauses detected. */
    private long mPauses;

    /**
     * Creates a detector; the start of the process counts as the end of a pause.
     *
     * @param startNanos the local monotonic time at which the process started
     */
    public PauseDetector(long startNanos) {
        mLastTickNanos = startNanos;
        mResumedNanos = startNanos;
    }

    /**
     * Records a tick; must be called several times within each period of {@link
     * #PAUSE_LIMIT_MILLIS}.
     *
     * @param nowNanos the local monotonic time
     * @return true if the process was paused before this tick
     */
    public boolean tick(long nowNanos) {
        boolean paused = nowNanos - mLastTickNanos > PAUSE_LIMIT_NANOS;
        if (paused) {
            mResumedNanos = nowNanos;
            mPauses++;
        }
        mLastTickNanos = Math.max(mLastTickNanos, nowNanos);
        return paused;
    }

    /**
     * Returns whether the process has run without a pause since a given time. A pause is also
     * detected before the first tick that follows it.
     *
     * @param sinceNanos the local monotonic time to start from
     * @param nowNanos the local monotonic time
     * @return true if no pause was detected
     */
    public boolean notPausedSince(long sinceNanos, long nowNanos) {
        return sinceNanos - mResumedNanos >= 0 && nowNanos - mLastTickNanos <= PAUSE_LIMIT_NANOS;
    }

    /**
     * Returns the end of the last pause.
     *
     * @return the local monotonic time; the start of the process if there was no pause
     */
    public long resumedNanos() {
        return mResumedNanos;
    }

    /**
     * Returns the number of pauses.
     *
     * @return the number of pauses since the start of the process
     */
    public long pauses() {
        return mPauses;
    }
}
