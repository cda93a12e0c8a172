package org.magnoliaseam.rollout;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Decides when a change that another entry VM has applied is overdue, which indicates that the open
 * call of the publisher is on a silent connection. Not thread-safe.
 */
public final class OverdueChange {

    /** The time in which the open call usually returns a change that a peer already has. */
    private static final long GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** The shortest time between two changes that count as overdue, in nanoseconds. */
    private final long mGapNanos;

    /** The revision that a peer has; at most the known one if none is expected. */
    private Revision mRevision = Revision.NONE;

    /** The local monotonic time at which a peer reported the revision. */
    private long mHeardNanos;

    /** The local monotonic time before which no change counts as overdue. */
    private long mNotBeforeNanos;

    /**
     * Creates an instance that expects no change.
     *
     * @param gap the shortest time between two changes that count as overdue, which bounds the
     *     calls if a peer reports revisions that the publisher never had
     * @param nowNanos the local monotonic time
     */
    public OverdueChange(Duration gap, long nowNanos) {
        mGapNanos = gap.toNanos();
        mNotBeforeNanos = nowNanos;
    }

    /**
     * Records a revision that another entry VM has applied.
     *
     * @param revision the revision
     * @param known the revision up to which changes are known here
     * @param nowNanos the local monotonic time
     */
    public void heard(Revision revision, Revision known, long nowNanos) {
        if (revision.isLaterThan(known) && !mRevision.isLaterThan(known)) {
            mRevision = revision;
            mHeardNanos = nowNanos;
        }
    }

    /**
     * Records that a call has started. A change that was reported during the pause before it is
     * overdue only if this call does not return it soon.
     *
     * @param nowNanos the local monotonic time
     */
    public void called(long nowNanos) {
        mHeardNanos = Math.max(mHeardNanos, nowNanos);
    }

    /**
     * Returns the time until the expected change is overdue.
     *
     * @param known the revision up to which changes are known here
     * @param nowNanos the local monotonic time
     * @return the time in nanoseconds, at most 0 if it is overdue; {@link Long#MAX_VALUE} if no
     *     change is expected
     */
    public long nanosUntilOverdue(Revision known, long nowNanos) {
        if (!mRevision.isLaterThan(known)) {
            return Long.MAX_VALUE;
        }
        return Math.max(mHeardNanos + GRACE_NANOS - nowNanos, mNotBeforeNanos - nowNanos);
    }

    /**
     * Stops expecting the change and returns its revision.
     *
     * @param nowNanos the local monotonic time
     * @return the revision that a peer has
     */
    public Revision take(long nowNanos) {
        Revision revision = mRevision;
        mRevision = Revision.NONE;
        mNotBeforeNanos = nowNanos + mGapNanos;
        return revision;
    }
}
