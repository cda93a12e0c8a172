package org.magnoliaseam.gossip;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
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

    /** The entry VMs beyond the seeds that may exist when none is heard. */
    private static final int UNHEARD_VMS = 2;

    /** The entry VMs that may exist while this one has just started. */
    private static final int ASSUMED_VMS = 8;

    /** The time after the first peer was heard in which all others are heard of. */
    private static final long SETTLING_NANOS = 500_000_000L;

    /** The time after the start at which an entry VM that hears nobody takes itself for alone. */
    private static final long ALONE_NANOS = 3_000_000_000L;

    /** The own address. */
    private final PeerEndpoint mOwn;

    /** The addresses from the settings. */
    private final List<PeerEndpoint> mSeeds;

    /** When each peer was heard last. */
    private final Map<PeerEndpoint, Heard> mHeard = new HashMap<>();

    /** The local monotonic time at which each unheard address was named. */
    private final Map<PeerEndpoint, Long> mNamed = new HashMap<>();

    /** The local monotonic time at which each peer was told something last. */
    private final Map<PeerEndpoint, Long> mTold = new HashMap<>();

    /** Chooses whom to tell. */
    private final Random mRandom;

    /** The local monotonic time of the start. */
    private final long mStartNanos;

    /** The local monotonic time at which the first peer was heard; 0 before. */
    private long mFirstHeardNanos;

    /**
     * Holds when a peer was heard last.
     *
     * @param nanos the local monotonic time
     * @param vms the entry VMs that the peer had heard, with itself
     */
    private record Heard(long nanos, int vms) {}

    /**
     * Creates a directory.
     *
     * @param own the own address
     * @param seeds the addresses from the settings
     * @param random chooses whom to tell
     * @param nowNanos the local monotonic time
     */
    PeerDirectory(PeerEndpoint own, List<PeerEndpoint> seeds, Random random, long nowNanos) {
        mStartNanos = nowNanos;
        mOwn = own;
        mSeeds = seeds.stream().filter(seed -> !seed.equals(own)).toList();
        mRandom = random;
    }

    /**
     * Notes that a peer was heard, and whom it hears.
     *
     * @param peer the peer
     * @param digest what it tells
     * @param nowNanos the local monotonic time
     * @return true if it was lost or unknown before
     */
    synchronized boolean heard(PeerEndpoint peer, Digest digest, long nowNanos) {
        boolean found = !live(peer, nowNanos);
        mFirstHeardNanos = mFirstHeardNanos == 0 ? nowNanos : mFirstHeardNanos;
        mHeard.put(peer, new Heard(nowNanos, digest.vms()));
        mNamed.remove(peer);
        for (PeerEndpoint other : digest.peers()) {
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
     * Returns the peers whose turn it is; each is told once in a round.
     *
     * @param count the most peers
     * @param nowNanos the local monotonic time
     * @return some of the peers that are heard
     */
    synchronized List<PeerEndpoint> next(int count, long nowNanos) {
        List<PeerEndpoint> live = live(nowNanos);
        live.sort(Comparator.comparingLong(peer -> mTold.getOrDefault(peer, 0L)));
        List<PeerEndpoint> next = new ArrayList<>(live.subList(0, Math.min(count, live.size())));
        mTold.keySet().retainAll(mHeard.keySet());
        next.forEach(peer -> mTold.put(peer, nowNanos));
        return next;
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
     * Returns the number of entry VMs that were heard lately, to tell the peers. It leaves out what
     * peers told, since a number that all repeat to each other would never fall.
     *
     * @param nowNanos the local monotonic time
     * @return the number with this one
     */
    synchronized int heardLately(long nowNanos) {
        mHeard.values().removeIf(heard -> nowNanos - heard.nanos() > MAY_LIVE_NANOS);
        return mHeard.size() + 1;
    }

    /**
     * Returns the entry VMs that may live and use their shares, also those that are not heard.
     *
     * @param nowNanos the local monotonic time
     * @return the entry VMs
     */
    synchronized Membership mayLive(long nowNanos) {
        int vms = Math.max(mSeeds.size() + UNHEARD_VMS, heardLately(nowNanos));
        for (Heard heard : mHeard.values()) {
            vms = Math.max(vms, heard.vms());
        }
        boolean settled =
                mFirstHeardNanos == 0
                        ? nowNanos - mStartNanos >= ALONE_NANOS
                        : nowNanos - mFirstHeardNanos >= SETTLING_NANOS;
        int assumed = settled ? vms : Math.max(vms, ASSUMED_VMS);
        return new Membership(mOwn, Set.copyOf(mHeard.keySet()), assumed, settled);
    }

    /**
     * Tells whether a peer is heard.
     *
     * @param peer the peer
     * @param nowNanos the local monotonic time
     * @return true if it is not lost
     */
    private boolean live(PeerEndpoint peer, long nowNanos) {
        Heard heard = mHeard.get(peer);
        return heard != null && nowNanos - heard.nanos() < LOST_NANOS;
    }
}
