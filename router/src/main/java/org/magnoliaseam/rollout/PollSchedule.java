package org.magnoliaseam.rollout;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.magnoliaseam.fleet.Member;
import org.magnoliaseam.fleet.MemberList;
import org.magnoliaseam.fleet.MemberState;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.share.RendezvousRanking;

/**
 * Schedules the reads of one resource of the platform. A few entry VMs watch it by long polling and
 * the others poll it rarely. Random delays spread the reads, also when all VMs restart at once. Not
 * thread-safe.
 */
public final class PollSchedule {

    /** The number of entry VMs that watch the platform. */
    public static final int WATCHERS = 3;

    /** The time for which a watch waits for a change, in seconds. */
    public static final int WATCH_SECONDS = 30;

    /** The maximum random delay before the first read, in milliseconds. */
    public static final long START_SPREAD_MILLIS = 2000;

    /** The mean time between reads of a VM that does not watch, in milliseconds. */
    public static final long POLL_MILLIS = 10_000;

    /** The maximum random delay before a watch is repeated, in milliseconds. */
    public static final long REWATCH_SPREAD_MILLIS = 500;

    /**
     * The maximum random delay of a read after a peer has reported a newer version, in
     * milliseconds.
     */
    public static final long HINT_SPREAD_MILLIS = 2000;

    /** The minimum time between two hints by peers that are acted on, in milliseconds. */
    public static final long HINT_GAP_MILLIS = 4000;

    /** The mean wait after the first failure, in milliseconds. */
    public static final long BACKOFF_MILLIS = 2000;

    /** The maximum mean wait after failures, in milliseconds. */
    public static final long MAX_BACKOFF_MILLIS = 30_000;

    /** The maximum mean wait of a watching VM after failures, in milliseconds. */
    public static final long MAX_WATCHER_BACKOFF_MILLIS = 3000;

    /** The key for the rendezvous ranking that selects the watchers. */
    private static final String WATCH_KEY = "platform-watch";

    /** Provides the random delays. */
    private final RandomGenerator mRandom;

    /** The mean wait after the next failure in milliseconds. */
    private long mBackoffMillis = BACKOFF_MILLIS;

    /** Whether the last read failed. */
    private boolean mFailed;

    /** The next read. */
    private PlatformRead mNext;

    /** The local monotonic time before which hints by peers are ignored. */
    private long mHintsFromNanos;

    /**
     * Creates a schedule with a first read.
     *
     * @param random provides the random delays
     * @param startNanos the local monotonic time
     */
    public PollSchedule(RandomGenerator random, long startNanos) {
        mRandom = random;
        mNext = new PlatformRead(startNanos + nanos(randomDelay(START_SPREAD_MILLIS)), 0);
        mHintsFromNanos = mNext.atNanos();
    }

    /**
     * Returns whether an entry VM watches the platform.
     *
     * @param list the list of entry VMs
     * @param vm the entry VM
     * @return true if it watches, false if it only polls
     */
    public static boolean isWatcher(MemberList list, VmId vm) {
        List<VmId> live =
                list.members().stream()
                        .filter(member -> member.state() == MemberState.LIVE)
                        .map(Member::vm)
                        .toList();
        int rank = RendezvousRanking.rank(live, WATCH_KEY).indexOf(vm);
        return rank >= 0 && rank < WATCHERS;
    }

    /**
     * Returns the next read.
     *
     * @return the scheduled read
     */
    public PlatformRead next() {
        return mNext;
    }

    /**
     * Records the outcome of a read and schedules the next one.
     *
     * @param outcome the outcome
     * @param watcher whether this VM watches the platform
     * @param nowNanos the local monotonic time
     * @return the next read
     */
    public PlatformRead finished(ReadOutcome outcome, boolean watcher, long nowNanos) {
        long waitMillis;
        mFailed = outcome == ReadOutcome.FAILED;
        if (mFailed) {
            long limitMillis = watcher ? MAX_WATCHER_BACKOFF_MILLIS : MAX_BACKOFF_MILLIS;
            long backoffMillis = Math.min(limitMillis, mBackoffMillis);
            waitMillis = backoffMillis / 2 + randomDelay(backoffMillis);
            mBackoffMillis = Math.min(MAX_BACKOFF_MILLIS, mBackoffMillis * 2);
        } else {
            mBackoffMillis = BACKOFF_MILLIS;
            waitMillis =
                    watcher
                            ? randomDelay(REWATCH_SPREAD_MILLIS)
                            : POLL_MILLIS / 2 + randomDelay(POLL_MILLIS);
        }
        mNext = new PlatformRead(nowNanos + nanos(waitMillis), watcher ? WATCH_SECONDS : 0);
        return mNext;
    }

    /**
     * Records that a peer has a newer version. Moves the next read to an earlier time, unless
     * another hint was acted on recently or the last read failed. Not called while a read is in
     * progress.
     *
     * @param nowNanos the local monotonic time
     * @return the next read
     */
    public PlatformRead hint(long nowNanos) {
        if (!mFailed && nowNanos - mHintsFromNanos >= 0) {
            long atNanos = nowNanos + nanos(randomDelay(HINT_SPREAD_MILLIS));
            mHintsFromNanos = nowNanos + nanos(HINT_GAP_MILLIS);
            if (atNanos - mNext.atNanos() < 0) {
                mNext = new PlatformRead(atNanos, mNext.waitSeconds());
            }
        }
        return mNext;
    }

    /**
     * Draws a random delay.
     *
     * @param millis the maximum delay in milliseconds, exclusive
     * @return the delay in milliseconds
     */
    private long randomDelay(long millis) {
        return mRandom.nextLong(millis);
    }

    /**
     * Converts milliseconds to nanoseconds.
     *
     * @param millis the milliseconds
     * @return the nanoseconds
     */
    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
