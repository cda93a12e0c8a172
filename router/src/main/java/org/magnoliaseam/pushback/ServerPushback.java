package org.magnoliaseam.pushback;

import java.util.concurrent.TimeUnit;

/**
 * Tracks the times for which a backend server wants no requests of this entry VM. After such a time
 * the number of requests that may be on their way grows with each answer, so that those that waited
 * do not arrive all at once. Not thread-safe.
 */
public final class ServerPushback {

    /**
     * The random part that is added to a time, as a share of it, so that entry VMs that were
     * refused together do not return together.
     */
    private static final double SPREAD = 0.1;

    /** The longest random part of a time, in nanoseconds. */
    private static final double MAX_SPREAD_NANOS = 5e8;

    /** The requests that may be unanswered from which on their number is not limited. */
    private static final int UNLIMITED = 32;

    /** The shortest interval between two log lines on the same backend server. */
    private static final long REPORT_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** The shortest time over which the share of pushback is measured. */
    private static final long MEASURE_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** The share of pushback from which on it counts as nearly permanent. */
    private static final double NEARLY_PERMANENT = 0.8;

    /** Whether a time has begun whose end has not been recorded. */
    private boolean mOpen;

    /** The local monotonic time at which the current time began. */
    private long mBeganNanos;

    /** The local monotonic time at which the current time ends. */
    private long mUntilNanos;

    /** The number of notices so far, which tells attempts before the last one from later ones. */
    private int mNotices;

    /** The requests that may be unanswered at the same time. */
    private int mWindow = UNLIMITED;

    /** The unanswered requests since the last notice, while their number is limited. */
    private int mUnanswered;

    /** The local monotonic time of the last log line; meaningful if there was one. */
    private long mReportedNanos;

    /** Whether there was a log line. */
    private boolean mReported;

    /** The local monotonic time since which the share of pushback is measured. */
    private long mMeasuredSinceNanos;

    /** The time of pushback since then, in nanoseconds. */
    private long mMeasuredNanos;

    /** The local monotonic time up to which the current time has been added to the measure. */
    private long mAddedNanos;

    /**
     * Records that the backend server wants no requests for a time. A later end that is known is
     * kept.
     *
     * @param millis the time in milliseconds, above 0
     * @param draw a random number from 0 to below 1
     * @param nowNanos the local monotonic time
     * @return true if no such time was running
     */
    public boolean received(long millis, double draw, long nowNanos) {
        long nanos = TimeUnit.MILLISECONDS.toNanos(millis);
        long until = nowNanos + nanos + (long) (draw * Math.min(SPREAD * nanos, MAX_SPREAD_NANOS));
        boolean begins = !isActive(nowNanos);
        measure(nowNanos);
        if (begins) {
            mBeganNanos = nowNanos;
            mUntilNanos = until;
            mAddedNanos = nowNanos;
        } else if (until - mUntilNanos > 0) {
            mUntilNanos = until;
        }
        if (mNotices == 0) {
            mMeasuredSinceNanos = nowNanos;
        }
        mOpen = true;
        mNotices++;
        mWindow = 1;
        mUnanswered = 0;
        return begins;
    }

    /**
     * Tells whether the backend server wants no requests now.
     *
     * @param nowNanos the local monotonic time
     * @return true until the end of the time
     */
    public boolean isActive(long nowNanos) {
        return mOpen && nowNanos - mUntilNanos < 0;
    }

    /**
     * Returns the end of the time for which the backend server wants no requests.
     *
     * @param nowNanos the local monotonic time
     * @return the local monotonic time of the end; now if there is no such time
     */
    public long untilNanos(long nowNanos) {
        return isActive(nowNanos) ? mUntilNanos : nowNanos;
    }

    /**
     * Tells whether one more request may be sent.
     *
     * @param nowNanos the local monotonic time
     * @return false until the end of the time, and after it while as many requests are unanswered
     *     as may be
     */
    public boolean admits(long nowNanos) {
        return !isActive(nowNanos) && mUnanswered < mWindow;
    }

    /**
     * Counts an attempt.
     *
     * @return the number of notices so far, to be passed to {@link #ended}
     */
    public int started() {
        if (isLimited()) {
            mUnanswered++;
        }
        return mNotices;
    }

    /**
     * Counts an attempt that was answered or has ended without an answer. Each answer doubles the
     * number of requests that may be unanswered.
     *
     * @param notices what {@link #started} returned; attempts before the last notice do not count
     * @param answered whether it was answered
     */
    public void ended(int notices, boolean answered) {
        if (notices != mNotices || !isLimited()) {
            return;
        }
        mUnanswered = Math.max(0, mUnanswered - 1);
        if (answered) {
            mWindow *= 2;
        }
    }

    /**
     * Tells whether the time has ended since the last call.
     *
     * @param nowNanos the local monotonic time
     * @return true once for each time
     */
    public boolean takeEnd(long nowNanos) {
        if (!mOpen || isActive(nowNanos)) {
            return false;
        }
        measure(nowNanos);
        mOpen = false;
        return true;
    }

    /**
     * Returns how long the last time has lasted.
     *
     * @return the time in milliseconds
     */
    public long lastedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mUntilNanos - mBeganNanos);
    }

    /**
     * Tells whether a line may be logged, so that a server that asks for short times does not flood
     * the log.
     *
     * @param nowNanos the local monotonic time
     * @return true if the last line is old enough
     */
    public boolean takeReport(long nowNanos) {
        if (mReported && nowNanos - mReportedNanos < REPORT_NANOS) {
            return false;
        }
        mReported = true;
        mReportedNanos = nowNanos;
        return true;
    }

    /**
     * Tells whether the backend server has wanted no requests nearly all the time.
     *
     * @param nowNanos the local monotonic time
     * @return true at most once in the time over which the share is measured
     */
    public boolean takeNearlyPermanent(long nowNanos) {
        measure(nowNanos);
        long elapsed = nowNanos - mMeasuredSinceNanos;
        if (mNotices == 0 || elapsed < MEASURE_NANOS) {
            return false;
        }
        boolean nearlyPermanent = mMeasuredNanos >= NEARLY_PERMANENT * elapsed;
        mMeasuredSinceNanos = nowNanos;
        mMeasuredNanos = 0;
        return nearlyPermanent;
    }

    /**
     * Tells whether the number of unanswered requests is limited.
     *
     * @return true from a notice until enough requests have been answered
     */
    private boolean isLimited() {
        return mWindow < UNLIMITED;
    }

    /**
     * Adds the part of the current time that has passed to the measure.
     *
     * @param nowNanos the local monotonic time
     */
    private void measure(long nowNanos) {
        if (mOpen) {
            long end = nowNanos - mUntilNanos < 0 ? nowNanos : mUntilNanos;
            mMeasuredNanos += Math.max(0, end - mAddedNanos);
            mAddedNanos = end;
        }
    }
}
