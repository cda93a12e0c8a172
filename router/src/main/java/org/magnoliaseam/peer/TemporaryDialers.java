package org.magnoliaseam.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.PeerAddress;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Holds connections to entry VMs that are not in the list of peers: former peers whose streams have
 * not ended, and entry VMs that were dialled for single requests. A connection is closed when it
 * has been idle for {@link PeerLimits#TEMPORARY_IDLE_MILLIS}.
 */
final class TemporaryDialers {

    /** Measures the idle time. */
    private final MonotonicClock mClock;

    /** The dialers with the time of their last use. */
    private final Map<VmId, Entry> mEntries = new HashMap<>();

    /**
     * Creates an empty set.
     *
     * @param clock measures the idle time
     */
    TemporaryDialers(MonotonicClock clock) {
        mClock = clock;
    }

    /**
     * Adds the dialer of a former peer, which no longer reconnects.
     *
     * @param dialer the dialer
     */
    synchronized void add(Dialer dialer) {
        dialer.setReconnect(false);
        Entry older = mEntries.put(dialer.peer().vm(), new Entry(dialer, mClock.nanos()));
        if (older != null) {
            older.dialer().stop();
        }
    }

    /**
     * Removes the dialer of an entry VM that becomes a peer.
     *
     * @param peer the entry VM with its address
     * @return the dialer, which reconnects from now on, or empty if no active dialer has this
     *     address
     */
    synchronized Optional<Dialer> promote(PeerAddress peer) {
        Optional<Dialer> dialer =
                Optional.ofNullable(mEntries.get(peer.vm()))
                        .map(Entry::dialer)
                        .filter(found -> found.peer().equals(peer) && found.setReconnect(true));
        dialer.ifPresent(found -> mEntries.remove(peer.vm()));
        return dialer;
    }

    /**
     * Finds or creates the dialer of an entry VM and records the time of use.
     *
     * @param vm the entry VM
     * @param created creates and starts a dialer
     * @return the dialer, or empty if the limit {@link PeerLimits#TEMPORARY_PEERS} is reached
     */
    synchronized Optional<Dialer> use(VmId vm, Supplier<Dialer> created) {
        Entry entry = mEntries.get(vm);
        boolean present = entry != null && !entry.dialer().ended();
        if (!present && mEntries.size() >= PeerLimits.TEMPORARY_PEERS) {
            return Optional.empty();
        }
        Dialer dialer = present ? entry.dialer() : created.get();
        mEntries.put(vm, new Entry(dialer, mClock.nanos()));
        return Optional.of(dialer);
    }

    /**
     * Finds the connection to an entry VM.
     *
     * @param vm the entry VM
     * @return the connection, or empty if none is up
     */
    synchronized Optional<DialledLink> link(VmId vm) {
        return Optional.ofNullable(mEntries.get(vm)).flatMap(entry -> entry.dialer().link());
    }

    /** Sends pings and closes idle connections. */
    synchronized void tick() {
        mEntries.values().forEach(entry -> entry.dialer().tick());
        mEntries.values().removeIf(this::removable);
    }

    /**
     * Lets all connections end once the waiting frames were sent.
     *
     * @return the connections
     */
    synchronized List<PeerConnection> finish() {
        return mEntries.values().stream()
                .flatMap(entry -> entry.dialer().finish().stream())
                .toList();
    }

    /** Closes all connections. */
    synchronized void stop() {
        mEntries.values().forEach(entry -> entry.dialer().stop());
        mEntries.clear();
    }

    /**
     * Stops a dialer that has been idle for the time limit and returns whether it can be removed.
     *
     * @param entry the dialer
     * @return true if it has ended or was stopped
     */
    private boolean removable(Entry entry) {
        long idleNanos = mClock.nanos() - entry.usedNanos();
        boolean recent =
                idleNanos < TimeUnit.MILLISECONDS.toNanos(PeerLimits.TEMPORARY_IDLE_MILLIS);
        boolean busy = entry.dialer().link().filter(link -> !link.streams().idle()).isPresent();
        if (!recent && !busy) {
            entry.dialer().stop();
            return true;
        }
        return entry.dialer().ended();
    }

    /**
     * Holds a dialer with the time of its last use.
     *
     * @param dialer the dialer
     * @param usedNanos the local monotonic time of the last use
     */
    private record Entry(Dialer dialer, long usedNanos) {}
}
