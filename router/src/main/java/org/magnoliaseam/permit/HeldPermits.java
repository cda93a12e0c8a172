package org.magnoliaseam.permit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.magnoliaseam.gossip.PeerEndpoint;
import org.magnoliaseam.model.BackendServerId;

/**
 * Tracks the permits that this entry VM holds, and decides when to renew those that count for a
 * slot. The renewals of all permits of a home share one datagram. Not thread-safe.
 */
final class HeldPermits {

    /**
     * The time between two datagrams to a home, in nanoseconds; two may be lost in a row before a
     * permit expires.
     */
    private static final long RENEW_NANOS = 1_000_000_000L;

    /** The age from which on a permit is renewed along with others, in nanoseconds. */
    private static final long JOIN_NANOS = 500_000_000L;

    /** The largest number of permits in a datagram, which keeps it below the usual MTU. */
    private static final int MAX_RENEWED = 40;

    /** The permits by number, in the order of their grants or last renewals. */
    private final Map<Long, Held> mHeld = new LinkedHashMap<>();

    /** The local monotonic time of the last datagram to each home. */
    private final Map<PeerEndpoint, Long> mRenewedNanos = new HashMap<>();

    /** The number of permits that count for a slot. */
    private int mSlots;

    /**
     * Holds a permit.
     *
     * @param home the entry VM that counts it, as far as is known
     * @param renewal what the home is told of it
     * @param slot whether it counts for a slot
     * @param nanos the local monotonic time of the grant or the last renewal
     */
    private record Held(
            PeerEndpoint home, PermitMessage.Renewal.Entry renewal, boolean slot, long nanos) {}

    /**
     * Records a permit that was granted, or that may have been.
     *
     * @param home the home that was asked
     * @param ask what was asked for
     * @param nowNanos the local monotonic time
     */
    void granted(PeerEndpoint home, PermitMessage.Ask ask, long nowNanos) {
        PermitMessage.Renewal.Entry renewal =
                new PermitMessage.Renewal.Entry(ask.id(), ask.server(), ask.priority(), false);
        boolean slot = ask.slots() > 0;
        mSlots += slot ? 1 : 0;
        mHeld.put(ask.id(), new Held(home, renewal, slot, nowNanos));
    }

    /**
     * Records that the prompt of a permit has been processed. A permit that counts for no slot ends
     * with it.
     *
     * @param id the number of the permit
     * @return the home to be told; null if the permit is not held
     */
    PeerEndpoint processed(long id) {
        Held held = mHeld.get(id);
        if (held == null || !held.slot()) {
            return remove(id);
        }
        PermitMessage.Renewal.Entry renewal =
                new PermitMessage.Renewal.Entry(
                        id, held.renewal().server(), held.renewal().priority(), true);
        mHeld.put(id, new Held(held.home(), renewal, true, held.nanos()));
        return held.home();
    }

    /**
     * Tells whether a permit counts for a slot.
     *
     * @param id the number of the permit
     * @return true if it is held and does
     */
    boolean isSlot(long id) {
        Held held = mHeld.get(id);
        return held != null && held.slot();
    }

    /**
     * Ends a permit.
     *
     * @param id the number of the permit
     * @return the home to be told; null if the permit is not held
     */
    PeerEndpoint remove(long id) {
        Held held = mHeld.remove(id);
        if (held == null) {
            return null;
        }
        mSlots -= held.slot() ? 1 : 0;
        return held.home();
    }

    /**
     * Returns the number of permits that count for a slot.
     *
     * @return the number
     */
    int slots() {
        return mSlots;
    }

    /**
     * Returns the renewals that are due, and records them. They go to the home of this moment,
     * which may differ from the one that granted the permit.
     *
     * @param homes returns the home of an engine
     * @param nowNanos the local monotonic time
     * @return the message for each home
     */
    Map<PeerEndpoint, PermitMessage.Renewal> renewals(
            Function<BackendServerId, PeerEndpoint> homes, long nowNanos) {
        if (mSlots == 0) {
            return new HashMap<>();
        }
        mRenewedNanos.values().removeIf(nanos -> nowNanos - nanos >= RENEW_NANOS);
        Map<PeerEndpoint, List<Held>> candidates = new HashMap<>();
        Map<PeerEndpoint, Boolean> due = new HashMap<>();
        for (Held held : mHeld.values()) {
            long age = nowNanos - held.nanos();
            if (!held.slot() || age < JOIN_NANOS) {
                continue;
            }
            PeerEndpoint home = homes.apply(held.renewal().server());
            List<Held> ofHome = candidates.computeIfAbsent(home, vm -> new ArrayList<>());
            if (!mRenewedNanos.containsKey(home) && ofHome.size() < MAX_RENEWED) {
                ofHome.add(held);
                due.merge(home, age >= RENEW_NANOS, Boolean::logicalOr);
            }
        }
        Map<PeerEndpoint, PermitMessage.Renewal> renewals = new HashMap<>();
        due.forEach(
                (home, isDue) -> {
                    if (isDue) {
                        renewals.put(home, renew(home, candidates.get(home), nowNanos));
                    }
                });
        return renewals;
    }

    /**
     * Records the renewal of permits.
     *
     * @param home the entry VM that counts them from now on
     * @param renewed the permits
     * @param nowNanos the local monotonic time
     * @return the message for the home
     */
    private PermitMessage.Renewal renew(PeerEndpoint home, List<Held> renewed, long nowNanos) {
        mRenewedNanos.put(home, nowNanos);
        List<PermitMessage.Renewal.Entry> entries = new ArrayList<>();
        for (Held held : renewed) {
            entries.add(held.renewal());
            mHeld.remove(held.renewal().id());
            mHeld.put(held.renewal().id(), new Held(home, held.renewal(), true, nowNanos));
        }
        return new PermitMessage.Renewal(entries);
    }
}
