package org.magnoliaseam.rollout;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Schedules the calls of a publisher so that lost contact is noticed and restored within a stated
 * time. With contact, one call at a time waits for changes. Without contact, calls that do not wait
 * start at intervals whatever became of the earlier ones, because a call that is open may be on a
 * connection that fell silent. Not thread-safe.
 */
public final class ContactSchedule {

    /**
     * The share of the contact limit that a call may take. The rest is left for two further calls.
     */
    private static final double CALL_SHARE = 0.8;

    /** The longest time that a call may take, in milliseconds. */
    private static final long MAX_CALL_MILLIS = 30_000;

    /** The share of a call's time limit for which it may wait for changes. */
    private static final double WAIT_SHARE = 0.8;

    /** The first interval between calls without contact, as a share of the contact limit. */
    private static final double FIRST_INTERVAL_SHARE = 0.08;

    /** The longest interval between calls without contact, as a share of the contact limit. */
    private static final double LONGEST_INTERVAL_SHARE = 0.25;

    /** The random part of an interval, which keeps entry VMs from calling at the same time. */
    private static final double SPREAD = 0.4;

    /** The shortest pause after a change, so that one call returns several changes. */
    private static final long MIN_BATCH_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /**
     * The longest pause after a change, as a share of the contact limit. Published changes have to
     * take effect within about that limit.
     */
    private static final double MAX_BATCH_SHARE = 0.2;

    /** The number of entry VMs up to which the pause is the shortest one. */
    private static final int SMALL_FLEET_VMS = 8;

    /** The number of entry VMs from which on the pause is the longest one. */
    private static final int LARGE_FLEET_VMS = 64;

    /** The time within which lost contact is noticed and restored, in nanoseconds. */
    private final long mLimitNanos;

    /** Provides the random part of the intervals. */
    private final RandomGenerator mRandom;

    /** Whether the last call that ended was answered. */
    private boolean mContact;

    /** Whether a call is scheduled. */
    private boolean mScheduled = true;

    /** The local monotonic time of the next call, if one is scheduled. */
    private long mNextNanos;

    /** The interval after the next call without contact, in nanoseconds. */
    private long mIntervalNanos;

    /** The number of entry VMs that call the store. */
    private int mVms = 1;

    /**
     * Creates a schedule whose first call is due at once.
     *
     * @param contactLimit the time within which lost contact is noticed and restored
     * @param random provides the random part of the intervals
     * @param nowNanos the local monotonic time
     */
    public ContactSchedule(Duration contactLimit, RandomGenerator random, long nowNanos) {
        mLimitNanos = contactLimit.toNanos();
        mRandom = random;
        mNextNanos = nowNanos;
        // The first call of a process is slow, so a second one would often be in vain.
        mIntervalNanos = longestInterval();
    }

    /**
     * Returns the time limit for a call.
     *
     * @return the time limit in milliseconds
     */
    public long callLimitMillis() {
        long millis = TimeUnit.NANOSECONDS.toMillis((long) (CALL_SHARE * mLimitNanos));
        return Math.min(millis, MAX_CALL_MILLIS);
    }

    /**
     * Returns the time for which the next call waits for changes.
     *
     * @return the time in milliseconds; 0 without contact, since a call that waits does not show
     *     whether the publisher is there
     */
    public long waitMillis() {
        return mContact ? (long) (WAIT_SHARE * callLimitMillis()) : 0;
    }

    /**
     * Returns the time until the next call.
     *
     * @param nowNanos the local monotonic time
     * @return the time in nanoseconds, at most 0 if a call is due; {@link Long#MAX_VALUE} if none
     *     is scheduled before an open call ends
     */
    public long nanosUntilCall(long nowNanos) {
        return mScheduled ? mNextNanos - nowNanos : Long.MAX_VALUE;
    }

    /**
     * Records that a call starts. Without contact the next one follows after an interval.
     *
     * @param nowNanos the local monotonic time
     */
    public void started(long nowNanos) {
        mScheduled = !mContact;
        if (mScheduled) {
            mNextNanos = nowNanos + nextInterval();
        }
    }

    /**
     * Sets the number of entry VMs that call the store. The more there are, the more changes one
     * call waits for, because the store counts the calls of all of them.
     *
     * @param vms the number of entry VMs, including this one
     */
    public void fleetSize(int vms) {
        mVms = vms;
    }

    /**
     * Tells whether the next call waits for further changes.
     *
     * @param nowNanos the local monotonic time
     * @return true during the pause after a change
     */
    public boolean isPausing(long nowNanos) {
        return mContact && mScheduled && nowNanos - mNextNanos < 0;
    }

    /**
     * Returns the pause after a change.
     *
     * @return the pause in nanoseconds, between the shortest and the longest one
     */
    private long batchNanos() {
        double size = (double) (mVms - SMALL_FLEET_VMS) / (LARGE_FLEET_VMS - SMALL_FLEET_VMS);
        double share = Math.max(0, Math.min(1, size));
        double longest = Math.max(MIN_BATCH_NANOS, MAX_BATCH_SHARE * mLimitNanos);
        return (long) (MIN_BATCH_NANOS + share * (longest - MIN_BATCH_NANOS));
    }

    /**
     * Records that a call was answered. Other open calls no longer count.
     *
     * @param pause whether the next call is to wait a little, so that it returns several changes
     * @param nowNanos the local monotonic time
     */
    public void answered(boolean pause, long nowNanos) {
        mContact = true;
        mScheduled = true;
        mNextNanos = pause ? nowNanos + batchNanos() : nowNanos;
        mIntervalNanos = firstInterval();
    }

    /**
     * Records that a call failed. The first failure starts the intervals at the start of the failed
     * call, so that a call that was open for long is repeated at once.
     *
     * @param startNanos the local monotonic time at which the call started
     * @param nowNanos the local monotonic time
     */
    public void failed(long startNanos, long nowNanos) {
        if (mContact) {
            mContact = false;
            mScheduled = true;
            mNextNanos = Math.max(nowNanos, startNanos + nextInterval());
        }
    }

    /**
     * Records that the publisher has a change that the open call should have returned, so the
     * connection may have fallen silent.
     *
     * @param nowNanos the local monotonic time
     */
    public void overdue(long nowNanos) {
        if (mContact) {
            mContact = false;
            mScheduled = true;
            mNextNanos = nowNanos;
        }
    }

    /**
     * Returns the interval after a call without contact and doubles it up to the longest.
     *
     * @return the interval with its random part in nanoseconds
     */
    private long nextInterval() {
        long interval = mIntervalNanos;
        mIntervalNanos = Math.min(2 * mIntervalNanos, longestInterval());
        return (long) (interval * (1 - SPREAD * mRandom.nextDouble()));
    }

    /**
     * Returns the first interval between calls without contact.
     *
     * @return the interval in nanoseconds
     */
    private long firstInterval() {
        return (long) (FIRST_INTERVAL_SHARE * mLimitNanos);
    }

    /**
     * Returns the longest interval between calls without contact.
     *
     * @return the interval in nanoseconds
     */
    private long longestInterval() {
        return (long) (LONGEST_INTERVAL_SHARE * mLimitNanos);
    }
}
