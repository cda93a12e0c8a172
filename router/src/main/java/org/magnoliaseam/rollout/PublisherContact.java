package org.magnoliaseam.rollout;

import java.time.Duration;

/**
 * Tracks the contact with a publisher and tells outages from calls that were cut. A publisher may
 * cut a call that waits for changes at any time, which shows by itself that it was there until
 * then. Not thread-safe.
 */
public final class PublisherContact {

    /** The shortest time without an answer that counts as an outage, in nanoseconds. */
    private final long mMinOutageNanos;

    /** The number of consecutive failed calls. */
    private int mFailures;

    /** The local monotonic time since which the publisher may have been away, after a failure. */
    private long mAwaySinceNanos;

    /** The local monotonic time of the last answer. */
    private long mAnsweredNanos;

    /** Whether contact is lost. */
    private boolean mLost;

    /** Lists what a failed call shows. */
    public enum Failure {
        /** The publisher ended a call that waited for changes. */
        CUT,
        /** The publisher did not answer, or refused to. */
        NO_ANSWER
    }

    /**
     * Describes the first answer after failed calls.
     *
     * @param failures the number of failed calls
     * @param lost whether contact was lost
     * @param outage whether the publisher may have been away so long that entries expired
     */
    public record Regained(int failures, boolean lost, boolean outage) {

        /** The result if no call had failed. */
        private static final Regained NOTHING = new Regained(0, false, false);
    }

    /**
     * Creates an instance with contact.
     *
     * @param heartbeat the interval at which backend servers write their entries. An entry expires
     *     after several intervals without a write, so a shorter outage expires none.
     * @param nowNanos the local monotonic time
     */
    public PublisherContact(Duration heartbeat, long nowNanos) {
        mMinOutageNanos = heartbeat.toNanos();
        mAnsweredNanos = nowNanos;
    }

    /**
     * Records a failed call. One that was cut does not lose contact unless the next one fails too.
     *
     * @param failure what it shows
     * @param startNanos the local monotonic time at which the call started
     * @param nowNanos the local monotonic time
     * @return true if contact has just been lost
     */
    public boolean failed(Failure failure, long startNanos, long nowNanos) {
        boolean cut = failure == Failure.CUT && mFailures == 0;
        if (mFailures == 0) {
            mAwaySinceNanos = cut ? nowNanos : startNanos;
        }
        mFailures++;
        boolean lostBefore = mLost;
        mLost |= !cut;
        return mLost && !lostBefore;
    }

    /**
     * Records an answer.
     *
     * @param nowNanos the local monotonic time
     * @return what became of the contact
     */
    public Regained answered(long nowNanos) {
        mAnsweredNanos = nowNanos;
        if (mFailures == 0) {
            return Regained.NOTHING;
        }
        boolean outage = nowNanos - mAwaySinceNanos >= mMinOutageNanos;
        Regained regained = new Regained(mFailures, mLost, outage);
        mFailures = 0;
        mLost = false;
        return regained;
    }

    /**
     * Tells whether contact is lost.
     *
     * @return true from the first failure other than a single cut until the next answer
     */
    public boolean isLost() {
        return mLost;
    }

    /**
     * Returns the time since the last answer.
     *
     * @param nowNanos the local monotonic time
     * @return the time in nanoseconds
     */
    public long awayNanos(long nowNanos) {
        return nowNanos - mAnsweredNanos;
    }
}
