package org.magnoliaseam.placement;

import java.util.concurrent.TimeUnit;

/**
 * Holds what a plain server itself stated about its load to this entry VM: the load in its answers
 * and refusals because it was full. Not thread-safe.
 */
public final class StatedLoad {

    /**
     * The age at which a reported load has lost most of its weight, in nanoseconds; the queue of a
     * plain server turns over in a few answer times.
     */
    private static final double DECAY_NANOS = 2.5e8;

    /** The age up to which a reported load closes a server, in nanoseconds. */
    private static final long CLOSING_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** The requests per slot that run and wait at a server from which on it is closed. */
    private static final int CLOSING_PER_SLOT = 2;

    /** The shortest interval between two log lines on refusals, in nanoseconds. */
    private static final long REPORT_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** The refusals because it was full. */
    private final FullBackoff mFull = new FullBackoff();

    /** The requests that run and wait there according to the last report. */
    private int mTotal;

    /** Those of them that are not from this entry VM. */
    private int mOthers;

    /** The local monotonic time of the last report. */
    private long mReportedNanos;

    /** Whether there was a report. */
    private boolean mReported;

    /** The local monotonic time of the last log line. */
    private long mLoggedNanos;

    /** Whether there was a log line. */
    private boolean mLogged;

    /**
     * Records a reported load.
     *
     * @param total the requests that run and wait there
     * @param own the attempts of this entry VM in progress there, with the one that was answered
     * @param nowNanos the local monotonic time
     */
    public void reported(int total, int own, long nowNanos) {
        mTotal = total;
        mOthers = Math.max(0, total - own);
        mReportedNanos = nowNanos;
        mReported = true;
    }

    /**
     * Returns the refusals because it was full.
     *
     * @return the backoff
     */
    public FullBackoff full() {
        return mFull;
    }

    /**
     * Estimates the requests of other entry VMs there.
     *
     * @param nowNanos the local monotonic time
     * @return the last reported number, weighted down with its age
     */
    public double others(long nowNanos) {
        return mReported ? mOthers * Math.exp((mReportedNanos - nowNanos) / DECAY_NANOS) : 0;
    }

    /**
     * Tells whether the server has stated that it has no room.
     *
     * @param slots the requests that it runs at once
     * @param running the attempts of this entry VM in progress there
     * @param nowNanos the local monotonic time
     * @return true shortly after a refusal, and while a fresh report shows a long queue
     */
    public boolean closes(int slots, int running, long nowNanos) {
        boolean fresh = mReported && nowNanos - mReportedNanos < CLOSING_NANOS;
        return fresh && mTotal >= CLOSING_PER_SLOT * slots || mFull.closes(running, nowNanos);
    }

    /**
     * Tells whether a refusal may be logged, so that a full server does not flood the log.
     *
     * @param nowNanos the local monotonic time
     * @return true if the last line is old enough
     */
    public boolean takeReport(long nowNanos) {
        if (mLogged && nowNanos - mLoggedNanos < REPORT_NANOS) {
            return false;
        }
        mLogged = true;
        mLoggedNanos = nowNanos;
        return true;
    }
}
