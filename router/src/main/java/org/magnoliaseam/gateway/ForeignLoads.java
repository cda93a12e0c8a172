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

/** Adds up what the other entry VMs have running at backend servers. Not thread-safe. */
final class ForeignLoads {

    /** The least age after which what a peer told no longer counts, in nanoseconds. */
    private static final long MIN_VALID_NANOS = 700_000_000L;

    /** The largest age after which what a peer told no longer counts, in nanoseconds. */
    private static final long MAX_VALID_NANOS = 4_000_000_000L;

    /** The digests that may be missed before what a peer told no longer counts. */
    private static final double VALID_GAPS = 2.5;

    /** What each peer told last. */
    private final Map<PeerEndpoint, Told> mTold = new HashMap<>();

    /** The sums by backend server. */
    private final Map<BackendServerId, Sum> mSums = new HashMap<>();

    /**
     * Holds what a peer told and when.
     *
     * @param digest what it told
     * @param nanos the local monotonic time
     * @param validNanos the age after which it no longer counts
     */
    private record Told(Digest digest, long nanos, long validNanos) {}

    /** Holds the load that all peers put on one backend server. */
    private static final class Sum {

        /** The tries that run there. */
        private int mRunning;

        /** The prompt tokens that wait to be read there. */
        private long mPendingTokens;
    }

    /**
     * Takes what a peer tells.
     *
     * @param peer the peer
     * @param digest what it tells
     * @param nowNanos the local monotonic time
     */
    void heard(PeerEndpoint peer, Digest digest, long nowNanos) {
        Told before = mTold.remove(peer);
        long valid = MIN_VALID_NANOS;
        if (before != null) {
            add(before.digest().loads(), -1);
            long gaps = (long) (VALID_GAPS * (nowNanos - before.nanos()));
            valid = Math.max(MIN_VALID_NANOS, Math.min(MAX_VALID_NANOS, gaps));
        }
        mTold.put(peer, new Told(digest, nowNanos, valid));
        add(digest.loads(), 1);
    }

    /**
     * Drops what is too old.
     *
     * @param nowNanos the local monotonic time
     */
    void expire(long nowNanos) {
        Iterator<Told> all = mTold.values().iterator();
        while (all.hasNext()) {
            Told told = all.next();
            if (nowNanos - told.nanos() > told.validNanos()) {
                add(told.digest().loads(), -1);
                all.remove();
            }
        }
    }

    /**
     * Returns the tries of the peers at a backend server.
     *
     * @param server the backend server
     * @return the number that runs there
     */
    int running(BackendServerId server) {
        Sum sum = mSums.get(server);
        return sum == null ? 0 : sum.mRunning;
    }

    /**
     * Returns the prompt tokens of the peers that wait to be read at a backend server.
     *
     * @param server the backend server
     * @return the tokens
     */
    long pendingTokens(BackendServerId server) {
        Sum sum = mSums.get(server);
        return sum == null ? 0 : sum.mPendingTokens;
    }

    /**
     * Returns the work that one kind of request brought to the peers lately.
     *
     * @param service the service
     * @param pauseMillis the longest pause that the requests bear, in milliseconds
     * @return the work in prompt tokens
     */
    double work(ServiceName service, long pauseMillis) {
        double work = 0;
        for (Told told : mTold.values()) {
            for (Demand demand : told.digest().demands()) {
                if (demand.pauseMillis() == pauseMillis && demand.service().equals(service)) {
                    work += demand.work();
                }
            }
        }
        return work;
    }

    /**
     * Adds loads to the sums or takes them away.
     *
     * @param loads the loads
     * @param sign 1 to add, -1 to take away
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
