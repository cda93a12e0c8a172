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

/**
 * Tracks the other entry VMs, which are discovered through the seeds and the digests of peers.
 * Thread-safe.
 */
final class PeerDirectory {

    /** The time without a digest after which a peer is no longer live, in nanoseconds. */
    private static final long LIVE_TIMEOUT_NANOS = 2_000_000_000L;

    /**
     * The time without a digest up to which a peer may still be alive and use its share of common
     * limits, in nanoseconds.
     */
    private static final long MAY_BE_ALIVE_NANOS = 30_000_000_000L;

    /**
     * The time for which digests are sent to an address that a peer named and that is not live, in
     * nanoseconds.
     */
    private static final long DISCOVERY_NANOS = 5_000_000_000L;

    /**
     * The number of entry VMs, including this one, that are assumed in addition to the other seeds.
     */
    private static final int EXTRA_VMS = 2;

    /** The smallest number of entry VMs to assume until the membership has settled. */
    private static final int ASSUMED_VMS = 8;

    /**
     * The time after the first digest of a peer until the membership counts as settled, in
     * nanoseconds.
     */
    private static final long SETTLING_NANOS = 500_000_000L;

    /**
     * The time after the start, in nanoseconds, until the membership counts as settled if no peer
     * sends a digest.
     */
    private static final long SETTLING_WITHOUT_PEERS_NANOS = 3_000_000_000L;

    /** The address of this entry VM. */
    private final PeerEndpoint mOwn;

    /** The seed addresses from the settings, without the own address. */
    private final List<PeerEndpoint> mSeeds;

    /** The latest digest of each peer. */
    private final Map<PeerEndpoint, ReceivedDigest> mReceived = new HashMap<>();

    /**
     * The local monotonic time at which each address that is not live was first named by a peer.
     */
    private final Map<PeerEndpoint, Long> mNamed = new HashMap<>();

    /** The local monotonic time of the last digest sent to each peer. */
    private final Map<PeerEndpoint, Long> mLastSentNanos = new HashMap<>();

    /** Shuffles the peers. */
    private final Random mRandom;

    /** The local monotonic time of the start. */
    private final long mStartNanos;

    /** The local monotonic time of the first digest of any peer; 0 before. */
    private long mFirstHeardNanos;

    /**
     * Holds the arrival time and the count of the latest digest of a peer.
     *
     * @param nanos the local monotonic time
     * @param vms the number of entry VMs that the peer counted, including itself
     */
    private record ReceivedDigest(long nanos, int vms) {}

    /**
     * Creates a directory.
     *
     * @param own the address of this entry VM
     * @param seeds the seed addresses from the settings
     * @param random shuffles the peers
     * @param nowNanos the local monotonic time
     */
    PeerDirectory(PeerEndpoint own, List<PeerEndpoint> seeds, Random random, long nowNanos) {
        mStartNanos = nowNanos;
        mOwn = own;
        mSeeds = seeds.stream().filter(seed -> !seed.equals(own)).toList();
        mRandom = random;
    }

    /**
     * Records a digest of a peer and the addresses that it names.
     *
     * @param peer the peer
     * @param digest the digest
     * @param nowNanos the local monotonic time
     * @return true if the peer was not live before
     */
    synchronized boolean heard(PeerEndpoint peer, Digest digest, long nowNanos) {
        boolean found = !live(peer, nowNanos);
        mFirstHeardNanos = mFirstHeardNanos == 0 ? nowNanos : mFirstHeardNanos;
        mReceived.put(peer, new ReceivedDigest(nowNanos, digest.vms()));
        mNamed.remove(peer);
        for (PeerEndpoint other : digest.peers()) {
            if (!other.equals(mOwn) && !live(other, nowNanos)) {
                mNamed.putIfAbsent(other, nowNanos);
            }
        }
        return found;
    }

    /**
     * Returns the live peers.
     *
     * @param nowNanos the local monotonic time
     * @return the peers in random order
     */
    synchronized List<PeerEndpoint> live(long nowNanos) {
        List<PeerEndpoint> live = new ArrayList<>();
        for (PeerEndpoint peer : mReceived.keySet()) {
            if (live(peer, nowNanos)) {
                live.add(peer);
            }
        }
        Collections.shuffle(live, mRandom);
        return live;
    }

    /**
     * Returns the peers to send the next digest to, those with the oldest last digest first.
     *
     * @param count the largest number of peers
     * @param nowNanos the local monotonic time
     * @return some of the live peers
     */
    synchronized List<PeerEndpoint> next(int count, long nowNanos) {
        List<PeerEndpoint> live = live(nowNanos);
        live.sort(Comparator.comparingLong(peer -> mLastSentNanos.getOrDefault(peer, 0L)));
        List<PeerEndpoint> next = new ArrayList<>(live.subList(0, Math.min(count, live.size())));
        mLastSentNanos.keySet().retainAll(mReceived.keySet());
        next.forEach(peer -> mLastSentNanos.put(peer, nowNanos));
        return next;
    }

    /**
     * Returns the addresses that are not live and to which digests should be sent for discovery.
     *
     * @param nowNanos the local monotonic time
     * @return seeds and addresses that peers named
     */
    synchronized Set<PeerEndpoint> discoveryTargets(long nowNanos) {
        mNamed.values().removeIf(since -> nowNanos - since > DISCOVERY_NANOS);
        Set<PeerEndpoint> discoveryTargets = new HashSet<>(mSeeds);
        discoveryTargets.addAll(mNamed.keySet());
        discoveryTargets.removeIf(peer -> live(peer, nowNanos));
        return discoveryTargets;
    }

    /**
     * Returns the number of entry VMs from which a digest was received lately, to report to the
     * peers. The counts of peers are left out, since a count that all VMs repeat to each other
     * would never decrease.
     *
     * @param nowNanos the local monotonic time
     * @return the number, including this one
     */
    synchronized int recentlyHeardCount(long nowNanos) {
        mReceived.values().removeIf(received -> nowNanos - received.nanos() > MAY_BE_ALIVE_NANOS);
        return mReceived.size() + 1;
    }

    /**
     * Returns the entry VMs that may be alive and use their shares, including those that are silent
     * at the moment.
     *
     * @param nowNanos the local monotonic time
     * @return the membership
     */
    synchronized Membership membership(long nowNanos) {
        int vms = Math.max(mSeeds.size() + EXTRA_VMS, recentlyHeardCount(nowNanos));
        for (ReceivedDigest received : mReceived.values()) {
            vms = Math.max(vms, received.vms());
        }
        boolean settled =
                mFirstHeardNanos == 0
                        ? nowNanos - mStartNanos >= SETTLING_WITHOUT_PEERS_NANOS
                        : nowNanos - mFirstHeardNanos >= SETTLING_NANOS;
        int assumed = settled ? vms : Math.max(vms, ASSUMED_VMS);
        return new Membership(mOwn, Set.copyOf(mReceived.keySet()), assumed, settled);
    }

    /**
     * Tells whether a peer is live.
     *
     * @param peer the peer
     * @param nowNanos the local monotonic time
     * @return true if a digest was received within the timeout
     */
    private boolean live(PeerEndpoint peer, long nowNanos) {
        ReceivedDigest received = mReceived.get(peer);
        return received != null && nowNanos - received.nanos() < LIVE_TIMEOUT_NANOS;
    }
}
