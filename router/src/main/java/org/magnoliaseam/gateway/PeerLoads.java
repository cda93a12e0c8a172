package org.magnoliaseam.gateway;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.magnoliaseam.gossip.Demand;
import org.magnoliaseam.gossip.Digest;
import org.magnoliaseam.gossip.PeerEndpoint;
import org.magnoliaseam.gossip.ServerLoad;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.ServiceName;

/**
 * Sums the load that the other entry VMs put on backend servers, as reported by gossip. Not
 * thread-safe.
 */
final class PeerLoads {

    /** The lower bound of the validity of a digest, in nanoseconds. */
    private static final long MIN_VALID_NANOS = 700_000_000L;

    /** The upper bound of the validity of a digest, in nanoseconds. */
    private static final long MAX_VALID_NANOS = 4_000_000_000L;

    /**
     * The validity of a digest as a multiple of the time between the last two digests of its
     * sender.
     */
    private static final double VALID_INTERVALS = 2.5;

    /** The latest digest of each peer. */
    private final Map<PeerEndpoint, ReceivedDigest> mDigests = new HashMap<>();

    /** The load of all peers by backend server. */
    private final Map<BackendServerId, Sum> mSums = new HashMap<>();

    /**
     * Holds the latest digest of a peer.
     *
     * @param digest the digest
     * @param nanos the local monotonic time of its arrival
     * @param validNanos the age in nanoseconds after which it expires
     */
    private record ReceivedDigest(Digest digest, long nanos, long validNanos) {}

    /** Holds the load that all peers put on one backend server. */
    private static final class Sum {

        /** The attempts in progress there. */
        private int mRunning;

        /** The prompt tokens that wait to be processed there. */
        private long mPendingTokens;
    }

    /**
     * Replaces the digest of a peer.
     *
     * @param peer the peer
     * @param digest the new digest
     * @param nowNanos the local monotonic time
     */
    void heard(PeerEndpoint peer, Digest digest, long nowNanos) {
        ReceivedDigest before = mDigests.remove(peer);
        long valid = MIN_VALID_NANOS;
        if (before != null) {
            add(before.digest().loads(), -1);
            long intervals = (long) (VALID_INTERVALS * (nowNanos - before.nanos()));
            valid = Math.max(MIN_VALID_NANOS, Math.min(MAX_VALID_NANOS, intervals));
        }
        mDigests.put(peer, new ReceivedDigest(digest, nowNanos, valid));
        add(digest.loads(), 1);
    }

    /**
     * Drops expired digests.
     *
     * @param nowNanos the local monotonic time
     */
    void expire(long nowNanos) {
        Iterator<ReceivedDigest> all = mDigests.values().iterator();
        while (all.hasNext()) {
            ReceivedDigest received = all.next();
            if (nowNanos - received.nanos() > received.validNanos()) {
                add(received.digest().loads(), -1);
                all.remove();
            }
        }
    }

    /**
     * Returns the attempts that the peers have in progress at a backend server.
     *
     * @param server the backend server
     * @return the number of attempts
     */
    int running(BackendServerId server) {
        Sum sum = mSums.get(server);
        return sum == null ? 0 : sum.mRunning;
    }

    /**
     * Returns the prompt tokens of the peers that wait to be processed at a backend server.
     *
     * @param server the backend server
     * @return the tokens
     */
    long pendingTokens(BackendServerId server) {
        Sum sum = mSums.get(server);
        return sum == null ? 0 : sum.mPendingTokens;
    }

    /**
     * Returns the recent demand of one kind of request at the peers.
     *
     * @param service the service
     * @param pauseMillis the longest pause that the requests tolerate, in milliseconds
     * @return the work in prompt tokens
     */
    double work(ServiceName service, long pauseMillis) {
        double work = 0;
        for (ReceivedDigest received : mDigests.values()) {
            for (Demand demand : received.digest().demands()) {
                if (demand.pauseMillis() == pauseMillis && demand.service().equals(service)) {
                    work += demand.work();
                }
            }
        }
        return work;
    }

    /**
     * Adds loads to the sums or subtracts them.
     *
     * @param loads the loads
     * @param sign 1 to add, -1 to subtract
     */
    private void add(List<ServerLoad> loads, int sign) {
        for (ServerLoad load : loads) {
            Sum sum = mSums.computeIfAbsent(load.server(), id -> new Sum());
            sum.mRunning += sign * load.running();
            sum.mPendingTokens += sign * load.pendingTokens();
            if (sum.mRunning == 0 && sum.mPendingTokens == 0) {
                mSums.remove(load.server());
            }
        }
    }
}
