package org.magnoliaseam.suspect;

import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides when a request is tried that is refused since such requests crashed backend servers. The
 * entry VMs take turns, so that each trial is made by one of them. Not thread-safe.
 */
final class TrialSchedule {

    /** The time from the last crash to the first trial, in nanoseconds. */
    private static final long FIRST_TRIAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** How much longer each further trial is waited for. */
    private static final int FURTHER_TRIAL_FACTOR = 4;

    /** The crashes after which requests are no longer tried. */
    private static final int FINAL_CRASHES = 6;

    /** The time after which the next entry VM has its turn, in nanoseconds. */
    private static final long TURN_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * The part of a turn in which a trial begins, in nanoseconds. In the rest the news of it
     * reaches the entry VM that is next.
     */
    private static final long BEGIN_NANOS = TURN_NANOS / 2;

    /** The number of turns of other entry VMs before the one of this entry VM. */
    private int mRank;

    /** The number of entry VMs that take turns; 0 while this entry VM takes none. */
    private int mVms = 1;

    /**
     * Sets the turns.
     *
     * @param rank the number of turns of other entry VMs before the one of this entry VM
     * @param vms the number of entry VMs that take turns; 0 if this entry VM takes none
     */
    void turns(int rank, int vms) {
        mRank = rank;
        mVms = vms;
    }

    /**
     * Tells whether this entry VM may try a request now.
     *
     * @param cause why it is refused
     * @param crashes the crashes that the cause explains
     * @param nowNanos the local monotonic time
     * @return true if a trial is due and this entry VM has its turn
     */
    boolean isDue(CrashCause cause, Collection<Crash> crashes, long nowNanos) {
        Optional<Long> tried = Crash.latest(crashes, Crash::triedNanos);
        if (cause.crashes() >= FINAL_CRASHES || mVms == 0 || tried.isEmpty()) {
            return false;
        }
        long wait = FIRST_TRIAL_NANOS;
        for (int i = 0; i < cause.furtherCrashes(); i++) {
            wait *= FURTHER_TRIAL_FACTOR;
        }
        long due = nowNanos - tried.get() - wait;
        boolean turn = due / TURN_NANOS % mVms == mRank && due % TURN_NANOS < BEGIN_NANOS;
        return due >= 0 && (turn || mVms == 1);
    }
}
