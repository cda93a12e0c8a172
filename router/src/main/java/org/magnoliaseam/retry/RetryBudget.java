package org.magnoliaseam.retry;

import java.util.HashMap;
import java.util.Map;
import org.magnoliaseam.fleet.PeerSummary;
import org.magnoliaseam.model.Incarnation;
import org.magnoliaseam.model.VmId;

/**
 * Limits retries to a fraction of first tries. Each first try adds the fraction to the retries that
 * this entry VM has saved, so the limit holds over all entry VMs without coordination. The counters
 * in the heartbeats of the peers prevent bursts of several entry VMs at the same time. Not
 * thread-safe.
 */
public final class RetryBudget {

    /** The maximum number of retries that an entry VM can save. */
    public static final double MAX_SAVED_RETRIES = 10;

    /** The retries that all entry VMs together may add to the fraction in one window. */
    public static final double FLEET_BURST_RETRIES = 10;

    /**
     * Holds the counters in the last heartbeat of a peer.
     *
     * @param incarnation the incarnation of the process, whose counters start at 0
     * @param firstTries the first tries since its start
     * @param retries the retries since its start
     */
    private record PeerCounters(Incarnation incarnation, long firstTries, long retries) {}

    /** The last counters of the peers. */
    private final Map<VmId, PeerCounters> mPeers = new HashMap<>();

    /** The first tries of all entry VMs in the window. */
    private final SlidingWindowCounter mFleetFirstTries = new SlidingWindowCounter();

    /** The retries of all entry VMs in the window. */
    private final SlidingWindowCounter mFleetRetries = new SlidingWindowCounter();

    /** The retries that this entry VM has saved. */
    private double mSaved;

    /** The first tries of this entry VM since its start. */
    private long mFirstTries;

    /** The retries of this entry VM since its start. */
    private long mRetries;

    /**
     * Counts a first try.
     *
     * @param fraction the allowed retries as a fraction of first tries
     * @param nowNanos the local monotonic time
     */
    public void firstTry(double fraction, long nowNanos) {
        mFirstTries++;
        mFleetFirstTries.add(1, nowNanos);
        mSaved = Math.min(MAX_SAVED_RETRIES, mSaved + fraction);
    }

    /**
     * Counts the new tries of a peer from the counters in its heartbeat.
     *
     * @param summary the summary in the heartbeat
     * @param nowNanos the local monotonic time
     */
    public void heard(PeerSummary summary, long nowNanos) {
        PeerCounters current =
                new PeerCounters(summary.incarnation(), summary.firstTries(), summary.retries());
        PeerCounters previous = mPeers.put(summary.vm(), current);
        if (previous != null && previous.incarnation().equals(current.incarnation())) {
            mFleetFirstTries.add(
                    Math.max(0, current.firstTries() - previous.firstTries()), nowNanos);
            mFleetRetries.add(Math.max(0, current.retries() - previous.retries()), nowNanos);
        }
    }

    /**
     * Removes the counters of a peer that is no longer listed.
     *
     * @param peer the peer
     */
    public void forget(VmId peer) {
        mPeers.remove(peer);
    }

    /**
     * Takes one retry out of the budget if there is one.
     *
     * @param fraction the allowed retries as a fraction of first tries
     * @param nowNanos the local monotonic time
     * @return whether the retry is allowed
     */
    public RetryDecision take(double fraction, long nowNanos) {
        if (mSaved < 1) {
            return new RetryDecision(false, "the retry budget of this entry VM is used up");
        }
        double allowed = fraction * mFleetFirstTries.sum(nowNanos) + FLEET_BURST_RETRIES;
        if (mFleetRetries.sum(nowNanos) + 1 > allowed) {
            return new RetryDecision(false, "the retry budget of all entry VMs is used up");
        }
        mSaved--;
        mRetries++;
        mFleetRetries.add(1, nowNanos);
        return new RetryDecision(true, "within the retry budget");
    }

    /**
     * Returns the first tries to report in the heartbeat.
     *
     * @return the first tries since the start
     */
    public long firstTries() {
        return mFirstTries;
    }

    /**
     * Returns the retries to report in the heartbeat.
     *
     * @return the retries since the start
     */
    public long retries() {
        return mRetries;
    }
}
