package org.magnoliaseam.dispatch;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.magnoliaseam.fleet.FleetView;
import org.magnoliaseam.fleet.PeerSummary;
import org.magnoliaseam.fleet.PeerView;
import org.magnoliaseam.fleet.TierLoad;
import org.magnoliaseam.model.Tier;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.RequestClass;

/** Holds the summaries of the peers and chooses peers for hand-over. */
final class PeerTable {

    /** The age up to which a summary is used, in nanoseconds. */
    static final long MAX_SUMMARY_AGE_NANOS = Duration.ofSeconds(3).toNanos();

    /** The wait of a tier at a peer after which lower tiers wait here, in milliseconds. */
    static final long PRESSURE_WAIT_MILLIS = 250;

    /** The peers by name. */
    private Map<VmId, PeerState> mPeers = new LinkedHashMap<>();

    /** The peers in the order in which they are compared; the first one wins a tie. */
    private PeerState[] mPeersInOrder = {};

    /** The tiers that waited too long at some peer when this was last computed. */
    private Set<Tier> mPressured = Set.of();

    /** The time after which a summary that contributes to the pressured tiers is too old. */
    private long mPressureEndNanos = Long.MAX_VALUE;

    /**
     * Updates the summaries from a new view.
     *
     * @param view the view
     * @param nowNanos the local monotonic time
     */
    void update(FleetView view, long nowNanos) {
        Map<VmId, PeerState> peers = new LinkedHashMap<>();
        for (PeerView peer : view.peers()) {
            if (!peer.vm().equals(view.self())) {
                PeerState known = mPeers.get(peer.vm());
                boolean same = known != null && known.hasSummaryOf(peer);
                peers.put(peer.vm(), same ? known : new PeerState(peer));
            }
        }
        mPeers = peers;
        mPeersInOrder = rotated(peers, view.self());
        computePressure(nowNanos);
    }

    /**
     * Orders the peers so that different entry VMs prefer different peers of equal score.
     *
     * @param peers the peers
     * @param self this entry VM
     * @return the peers, rotated by a number that depends on the name of this entry VM
     */
    private static PeerState[] rotated(Map<VmId, PeerState> peers, VmId self) {
        PeerState[] order = new PeerState[peers.size()];
        int index = order.length == 0 ? 0 : Math.floorMod(self.hashCode(), order.length);
        for (PeerState peer : peers.values()) {
            order[index] = peer;
            index = (index + 1) % order.length;
        }
        return order;
    }

    /**
     * Computes the pressured tiers, which wait too long at some peer.
     *
     * @param nowNanos the local monotonic time
     */
    private void computePressure(long nowNanos) {
        mPressured = new HashSet<>();
        mPressureEndNanos = Long.MAX_VALUE;
        for (PeerState peer : mPeersInOrder) {
            if (!peer.fresh(nowNanos)) {
                continue;
            }
            for (TierLoad pressure : peer.summary().pressure()) {
                if (pressure.queued() > 0 && pressure.oldestWaitMillis() >= PRESSURE_WAIT_MILLIS) {
                    mPressured.add(pressure.tier());
                    mPressureEndNanos = Math.min(mPressureEndNanos, peer.freshUntilNanos());
                }
            }
        }
    }

    /**
     * Returns the pressured tiers, which wait too long at some peer.
     *
     * @param nowNanos the local monotonic time
     * @return the tiers
     */
    Set<Tier> pressuredTiers(long nowNanos) {
        if (nowNanos > mPressureEndNanos) {
            computePressure(nowNanos);
        }
        return mPressured;
    }

    /**
     * Tells whether there are no peers.
     *
     * @return true if no peer is known
     */
    boolean isEmpty() {
        return mPeersInOrder.length == 0;
    }

    /**
     * Chooses the peer with the most free slots that this entry VM may still use. The slots of a
     * peer are divided among the entry VMs that need some.
     *
     * @param requestClass the class of the request
     * @param serviceNanos the mean service time in nanoseconds; 0 if unknown
     * @param nowNanos the local monotonic time
     * @return the peer, or empty if none has free slots
     */
    Optional<PeerState> withFreeSlots(RequestClass requestClass, long serviceNanos, long nowNanos) {
        int needing = 0;
        for (PeerState peer : mPeersInOrder) {
            needing += peer.fresh(nowNanos) && peer.needsSlots(requestClass.id()) ? 1 : 0;
        }
        int senders = needing + 1;
        return best(
                nowNanos, peer -> peer.usableSlots(requestClass, senders, serviceNanos, nowNanos));
    }

    /**
     * Chooses the peer with the most running requests of lower tiers that it could preempt.
     *
     * @param tier the tier of the request
     * @param nowNanos the local monotonic time
     * @return the peer, or empty if none runs more requests of lower tiers than it has waiting
     *     requests of the tier and of higher tiers
     */
    Optional<PeerState> withPreemptibleBelow(Tier tier, long nowNanos) {
        return best(nowNanos, peer -> peer.preemptibleBelow(tier));
    }

    /**
     * Chooses the peer with the least load.
     *
     * @param requestClass the class of the request
     * @param nowNanos the local monotonic time
     * @return the peer, or empty if none accepts new requests
     */
    Optional<PeerState> leastLoaded(RequestClass requestClass, long nowNanos) {
        return best(nowNanos, peer -> Integer.MAX_VALUE / 2 - peer.load(requestClass.id()));
    }

    /**
     * Chooses the peer with the highest positive score.
     *
     * @param nowNanos the local monotonic time
     * @param score computes the score of a peer
     * @return the peer, or empty if no peer with a fresh summary accepts new requests and has a
     *     positive score
     */
    private Optional<PeerState> best(long nowNanos, ToIntFunction<PeerState> score) {
        PeerState best = null;
        int bestScore = 0;
        for (PeerState peer : mPeersInOrder) {
            PeerSummary summary = peer.summary();
            if (!peer.fresh(nowNanos) || !summary.ready() || summary.leaving()) {
                continue;
            }
            int peerScore = score.applyAsInt(peer);
            if (peerScore > bestScore) {
                best = peer;
                bestScore = peerScore;
            }
        }
        return Optional.ofNullable(best);
    }
}
