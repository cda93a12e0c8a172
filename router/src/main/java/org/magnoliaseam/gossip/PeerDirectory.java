package org.magnoliaseam.gossip;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** Knows the other entry VMs from the seeds and from what peers tell. Thread-safe. */
final class PeerDirectory {

    /** The silence after which a peer counts as lost, in nanoseconds. */
    private static final long LOST_NANOS = 2_000_000_000L;

    /** The silence up to which a peer may still live and use its share, in nanoseconds. */
    private static final long MAY_LIVE_NANOS = 30_000_000_000L;

    /** The time for which an unheard address is tried, in nanoseconds. */
    private static final long TRY_NANOS = 5_000_000_000L;

    /** The entry VMs beyond the seeds that may exist before any is heard. */
    private static final int UNHEARD_VMS = 2;

    /** The own address. */
    private final PeerEndpoint mOwn;

    /** The addresses from the settings. */
    private final List<PeerEndpoint> mSeeds;

    /** The local monotonic time at which each peer was heard last. */
    private final Map<PeerEndpoint, Long> mHeard = new HashMap<>();

    /** The local monotonic time at which each unheard address was named. */
    private final Map<PeerEndpoint, Long> mNamed = new HashMap<>();

    /** Chooses whom to tell. */
    private final Random mRandom;

    /**
     * Creates a directory.
     *
     * @param own the own address
     * @param seeds the addresses from the settings
     * @param random chooses whom to tell
     */
    PeerDirectory(PeerEndpoint own, List<PeerEndpoint> seeds, Random random) {
        mOwn = own;
        mSeeds = seeds.stream().filter(seed -> !seed.equals(own)).toList();
        mRandom = random;
    }

    /**
     * Notes that a peer was heard, and whom it hears.
     *
     * @param peer the peer
     * @param named the entry VMs that it hears
     * @param nowNanos the local monotonic time
     * @return true if it was lost or unknown before
     */
    synchronized boolean heard(PeerEndpoint peer, List<PeerEndpoint> named, long nowNanos) {
        boolean found = !live(peer, nowNanos);
        mHeard.put(peer, nowNanos);
        mNamed.remove(peer);
        for (PeerEndpoint other : named) {
            if (!other.equals(mOwn) && !live(other, nowNanos)) {
                mNamed.putIfAbsent(other, nowNanos);
            }
        }
        return found;
    }

    /**
     * Returns the peers that are heard.
     *
     * @param nowNanos the local monotonic time
     * @return the peers in random order
     */
    synchronized List<PeerEndpoint> live(long nowNanos) {
        List<PeerEndpoint> live = new ArrayList<>();
        for (PeerEndpoint peer : mHeard.keySet()) {
            if (live(peer, nowNanos)) {
                live.add(peer);
            }
        }
        Collections.shuffle(live, mRandom);
        return live;
    }

    /**
     * Returns the addresses that should be tried since nothing is heard from them.
     *
     * @param nowNanos the local monotonic time
     * @return seeds and addresses that peers named
     */
    synchronized Set<PeerEndpoint> unheard(long nowNanos) {
        mNamed.values().removeIf(since -> nowNanos - since > TRY_NANOS);
        Set<PeerEndpoint> unheard = new HashSet<>(mSeeds);
        unheard.addAll(mNamed.keySet());
        unheard.removeIf(peer -> live(peer, nowNanos));
        return unheard;
    }

    /**
     * Returns the entry VMs that may live and use their shares, also those that are not heard.
     *
     * @param nowNanos the local monotonic time
     * @return the number with this one
     */
    synchronized int mayLive(long nowNanos) {
        mHeard.values().removeIf(heard -> nowNanos - heard > MAY_LIVE_NANOS);
        return Math.max(mSeeds.size() + UNHEARD_VMS, mHeard.size() + 1);
    }

    /**
     * Tells whether a peer is heard.
     *
     * @param peer the peer
     * @param nowNanos the local monotonic time
     * @return true if it is not lost
     */
    private boolean live(PeerEndpoint peer, long nowNanos) {
        Long heard = mHeard.get(peer);
        return heard != null && nowNanos - heard < LOST_NANOS;
    }
}
