package org.magnoliaseam.coldstart;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.fleet.LoadReport;

/**
 * Computes an upper bound of the requests of other entry VMs that run on a server, from load
 * reports that may lag. While this VM alone may send, the bound can only fall. Not thread-safe.
 */
final class PeerLoadBound {

    /** The maximum expected lag of the numbers in a load report, in milliseconds. */
    static final long REPORT_LAG_MILLIS = 1500;

    /** The maximum expected lag of the numbers in a load report, in nanoseconds. */
    private static final long REPORT_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(REPORT_LAG_MILLIS);

    /**
     * The time after which load reports include an abandoned request that still runs, in
     * nanoseconds.
     */
    private static final long ABANDONED_HOLD_NANOS =
            REPORT_LAG_NANOS + TimeUnit.MILLISECONDS.toNanos(ColdSenderElection.SEND_DELAY_MILLIS);

    /** The bound before the first accepted report. */
    private static final int UNKNOWN = Integer.MAX_VALUE;

    /**
     * Holds the number of own requests since a point in time.
     *
     * @param nanos the local monotonic time
     * @param count the number of own requests running
     */
    private record Sample(long nanos, int count) {}

    /** The recent numbers of own requests, oldest first. */
    private final Deque<Sample> mOwnSamples = new ArrayDeque<>();

    /** The times from which reports include each abandoned request, oldest first. */
    private final Deque<Long> mAbandoned = new ArrayDeque<>();

    /**
     * The bound without recently abandoned requests; {@link #UNKNOWN} before the first accepted
     * report.
     */
    private int mBound = UNKNOWN;

    /** The local monotonic time before which reports are ignored. */
    private long mReportsFromNanos;

    /**
     * Creates a bound that is unknown until the first report.
     *
     * @param nowNanos the local monotonic time
     */
    PeerLoadBound(long nowNanos) {
        mOwnSamples.add(new Sample(nowNanos, 0));
        mReportsFromNanos = nowNanos;
    }

    /**
     * Resets the bound to unknown, because other entry VMs may have sent requests.
     *
     * @param reportsFromNanos the local monotonic time before which reports are ignored
     */
    void restart(long reportsFromNanos) {
        mBound = UNKNOWN;
        mReportsFromNanos = reportsFromNanos;
    }

    /**
     * Records a change of the number of own requests.
     *
     * @param count the number of own requests running
     * @param nowNanos the local monotonic time
     */
    void ownRequestsChanged(int count, long nowNanos) {
        mOwnSamples.addLast(new Sample(nowNanos, count));
        while (mOwnSamples.size() > 1
                && isBeforeWindow(secondOldest(), nowNanos - REPORT_LAG_NANOS)) {
            mOwnSamples.removeFirst();
        }
    }

    /**
     * Counts an own request that was abandoned but may still run, until a report is late enough to
     * include it.
     *
     * @param nowNanos the local monotonic time
     */
    void abandoned(long nowNanos) {
        mAbandoned.addLast(nowNanos + ABANDONED_HOLD_NANOS);
    }

    /**
     * Updates the bound from a load report. Any request in the report may come from another entry
     * VM: own requests that are still on their way to the server, or whose answers are on their way
     * back, cannot be identified in it.
     *
     * @param report the report
     */
    void report(LoadReport report) {
        if (report.confirmedNanos() - mReportsFromNanos < 0) {
            return;
        }
        int abandonedReported = 0;
        while (!mAbandoned.isEmpty() && report.confirmedNanos() - mAbandoned.getFirst() >= 0) {
            mAbandoned.removeFirst();
            abandonedReported++;
        }
        int total = report.running() + report.queued();
        int previousBound = mBound == UNKNOWN ? UNKNOWN : mBound + abandonedReported;
        int lowerBound = Math.max(0, total - maxOwnRequests(report.confirmedNanos()));
        mBound = Math.max(lowerBound, Math.min(previousBound, total));
    }

    /**
     * Computes how many requests this entry VM may have running within a limit for all entry VMs.
     *
     * @param limit the number of requests that the server can run at once
     * @return the number of requests that this VM may have running; 0 before the first accepted
     *     report
     */
    int availableSlots(int limit) {
        return mBound >= limit ? 0 : Math.max(0, limit - mBound - mAbandoned.size());
    }

    /**
     * Returns the largest number of own requests at any time that a report can reflect.
     *
     * @param confirmedNanos the local monotonic time at which the report arrived
     * @return the number of own requests
     */
    private int maxOwnRequests(long confirmedNanos) {
        int max = mOwnSamples.getLast().count();
        Sample previous = mOwnSamples.getFirst();
        for (Sample sample : mOwnSamples) {
            if (!isBeforeWindow(sample, confirmedNanos)) {
                max = Math.max(max, previous.count());
            }
            previous = sample;
        }
        return max;
    }

    /**
     * Returns the second-oldest sample.
     *
     * @return the sample
     */
    private Sample secondOldest() {
        return mOwnSamples.stream().skip(1).findFirst().orElseThrow();
    }

    /**
     * Returns whether a sample is older than anything that a report arriving now can reflect.
     *
     * @param sample the sample
     * @param nowNanos the local monotonic time
     * @return true if it is
     */
    private static boolean isBeforeWindow(Sample sample, long nowNanos) {
        return nowNanos - sample.nanos() > REPORT_LAG_NANOS;
    }
}
