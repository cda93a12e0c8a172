package org.magnoliaseam.dispatch;

import org.magnoliaseam.fleet.PeerSummary;
import org.magnoliaseam.fleet.PeerView;
import org.magnoliaseam.fleet.TierLoad;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.Tier;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.RequestClass;

/** Holds the last summary of a peer and the number of requests handed over to the peer since. */
final class PeerState {

    /** The last summary, with the time at which it arrived. */
    private final PeerView mView;

    /** The requests handed over to the peer since the summary arrived. */
    private int mHandedOver;

    /**
     * Creates the state of a peer to which nothing was handed over since its summary.
     *
     * @param view the last summary
     */
    PeerState(PeerView view) {
        mView = view;
    }

    /**
     * Tells whether a view holds the same summary as this state.
     *
     * @param view the view
     * @return true if no newer summary has arrived
     */
    boolean hasSummaryOf(PeerView view) {
        return mView.receivedNanos() == view.receivedNanos()
                && summary().sequence() == view.summary().sequence()
                && summary().incarnation().equals(view.summary().incarnation());
    }

    /**
     * Tells whether the summary is recent enough to base decisions on.
     *
     * @param nowNanos the local monotonic time
     * @return true if it is
     */
    boolean fresh(long nowNanos) {
        return nowNanos <= freshUntilNanos();
    }

    /**
     * Returns the last time at which the summary is fresh.
     *
     * @return the local monotonic time
     */
    long freshUntilNanos() {
        return mView.receivedNanos() + PeerTable.MAX_SUMMARY_AGE_NANOS;
    }

    /**
     * Returns the name of the peer.
     *
     * @return the name
     */
    VmId vm() {
        return mView.vm();
    }

    /**
     * Returns the last summary.
     *
     * @return the summary
     */
    PeerSummary summary() {
        return mView.summary();
    }

    /** Counts a request that is handed over to the peer. */
    void handedOver() {
        mHandedOver++;
    }

    /**
     * Tells whether the peer itself needs free slots of other entry VMs.
     *
     * @param requestClass the class that needs the slots
     * @return true if it has waiting requests and no free slot
     */
    boolean needsSlots(RequestClassId requestClass) {
        return summary().freeSlots(requestClass) == 0 && queuedAtOrAbove(Tier.LOWEST) > 0;
    }

    /**
     * Returns the number of slots of the peer that this entry VM may still use. The result is its
     * part of the free slots in the summary and of the slots that requests of the tier or a higher
     * tier have probably freed since, less the requests already handed over.
     *
     * @param requestClass the class of the request to hand over
     * @param senders the number of entry VMs that need free slots
     * @param serviceNanos the mean service time in nanoseconds; 0 if unknown
     * @param nowNanos the local monotonic time
     * @return the number of slots; zero or negative if none are left
     */
    int usableSlots(RequestClass requestClass, int senders, long serviceNanos, long nowNanos) {
        Tier tier = requestClass.tier();
        int slots = summary().freeSlots(requestClass.id());
        if (serviceNanos > 0 && queuedAtOrAbove(tier) == 0) {
            long age = Math.min(serviceNanos, nowNanos - mView.receivedNanos());
            slots += (int) (runningAtOrAbove(tier) * age / serviceNanos);
        }
        return (slots + senders - 1) / senders - mHandedOver;
    }

    /**
     * Counts the running requests of a tier and of higher tiers.
     *
     * @param tier the tier
     * @return the count
     */
    private int runningAtOrAbove(Tier tier) {
        int running = 0;
        for (TierLoad pressure : summary().pressure()) {
            running += tier.outranks(pressure.tier()) ? 0 : pressure.running();
        }
        return running;
    }

    /**
     * Returns the number of running requests of lower tiers that the peer could preempt for this
     * entry VM.
     *
     * @param tier the tier of the request to hand over
     * @return the number of requests; zero or negative if there are none
     */
    int preemptibleBelow(Tier tier) {
        int below = 0;
        for (TierLoad pressure : summary().pressure()) {
            below += tier.outranks(pressure.tier()) ? pressure.running() : 0;
        }
        return below - queuedAtOrAbove(tier) - mHandedOver;
    }

    /**
     * Estimates the load of the peer for a request that is handed over.
     *
     * @param requestClass the class of the request
     * @return the waiting and handed-over requests less the free slots
     */
    int load(RequestClassId requestClass) {
        return queuedAtOrAbove(Tier.LOWEST) - summary().freeSlots(requestClass) + mHandedOver;
    }

    /**
     * Counts the waiting requests of a tier and of higher tiers.
     *
     * @param tier the tier
     * @return the count
     */
    private int queuedAtOrAbove(Tier tier) {
        int queued = 0;
        for (TierLoad pressure : summary().pressure()) {
            queued += tier.outranks(pressure.tier()) ? 0 : pressure.queued();
        }
        return queued;
    }
}
