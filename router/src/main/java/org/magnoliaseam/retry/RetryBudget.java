package org.magnoliaseam.retry;

import java.util.HashMap;
import java.util.Map;
import org.magnoliaseam.fleet.PeerSummary;
import org.magnoliaseam.model.Incarnation;
import org.magnoliaseam.model.VmId;

/**
 * Limits retries to a fraction of first tries. Each first try earns this entry VM a part of a
 * retry, so the fraction holds over all entry VMs without agreement; what the peers tell keeps
 * bursts of several VMs apart. Not thread-safe.
 */
public final class RetryBudget {

    /** The most retries that an entry VM can save up. */
    public static final double MAX_SAVED_RETRIES = 10;

    /** The retries by which all entry VMs together may exceed the fraction in one window. */
    public static final double FLEET_BURST_RETRIES = 10;

    /**
     * Holds the counters that a run of a peer named last.
     *
     * @param incarnation the run
     * @param firstTries its first tries
     * @param retries its retries
     */
    private record PeerCounters(Incarnation incarnation, long firstTries, long retries) {}

    /** The last counters of the peers. */
    private final Map<VmId, PeerCounters> mPeers = new HashMap<>();

    /** The first tries of all entry VMs lately. */
    private final SlidingCount mFleetFirstTries = new SlidingCount();

    /** The retries of all entry VMs lately. */
    private final SlidingCount mFleetRetries = new SlidingCount();

    /** The retries saved up by this entry VM. */
    private double mSaved;

    /** The first tries of this entry VM since its start. */
    private long mFirstTries;

    /** The retries of this entry VM since its start. */
    private long mRetries;

    /**
     * Counts a first try.
     *
     * @param fraction the retries allowed as a fraction of first tries
     * @param nowNanos the local monotonic time
     */
    public void firstTry(double fraction, long nowNanos) {
        mFirstTries++;
        mFleetFirstTries.add(1, nowNanos);
        mSaved = Math.min(MAX_SAVED_RETRIES, mSaved + fraction);
    }

    /**
     * Takes the counters of a peer from its heartbeat.
     *
     * @param summary what the peer tells
     * @param nowNanos the local monotonic time
     */
    public void heard(PeerSummary summary, long nowNanos) {
        PeerCounters now =
                new PeerCounters(summary.incarnation(), summary.firstTries(), summary.retries());
        PeerCounters before = mPeers.put(summary.vm(), now);
        if (before != null && before.incarnation().equals(now.incarnation())) {
            mFleetFirstTries.add(Math.max(0, now.firstTries() - before.firstTries()), nowNanos);
            mFleetRetries.add(Math.max(0, now.retries() - before.retries()), nowNanos);
        }
    }

    /**
     * Forgets a peer that left the list.
     *
     * @param peer the peer
     */
    public void forget(VmId peer) {
        mPeers.remove(peer);
    }

    /**
     * Takes one retry out of the budget if there is one.
     *
     * @param fraction the retries allowed as a fraction of first tries
     * @param nowNanos the local monotonic time
     * @return whether the request may be tried again
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
     * Returns the first tries to name in the heartbeat.
     *
     * @return the first tries since the start
     */
    public long firstTries() {
        return mFirstTries;
    }

    /**
     * Returns the retries to name in the heartbeat.
     *
     * @return the retries since the start
     */
    public long retries() {
        return mRetries;
    }
}
