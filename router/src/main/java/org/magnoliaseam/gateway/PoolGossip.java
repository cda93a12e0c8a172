package org.magnoliaseam.gateway;

import java.util.List;
import org.magnoliaseam.gossip.Demand;
import org.magnoliaseam.gossip.Digest;
import org.magnoliaseam.gossip.GossipListener;
import org.magnoliaseam.gossip.Membership;
import org.magnoliaseam.gossip.PartRead;
import org.magnoliaseam.gossip.PeerEndpoint;
import org.magnoliaseam.gossip.ServerLoad;
import org.magnoliaseam.leaving.ServerIncarnation;
import org.magnoliaseam.rollout.Revision;
import org.magnoliaseam.spillover.DomainDemand;
import org.magnoliaseam.suspect.CrashNews;

/** Reports the state of the server pool to the other entry VMs, and receives theirs. */
public final class PoolGossip implements GossipListener {

    /** The backend servers. */
    private final ServerPool mPool;

    /** The newest applied change of the publisher. */
    private final PublishedRevision mPublished;

    /**
     * Creates a reporter.
     *
     * @param pool the backend servers
     * @param published the newest applied change of the publisher
     */
    public PoolGossip(ServerPool pool, PublishedRevision published) {
        mPool = pool;
        mPublished = published;
    }

    @Override
    public Revision publishedRevision() {
        return mPublished.newest();
    }

    @Override
    public List<ServerLoad> loads() {
        return mPool.loads();
    }

    @Override
    public List<Demand> demands() {
        return mPool.demands();
    }

    @Override
    public List<PartRead> reads(int digests) {
        return mPool.reads(digests);
    }

    @Override
    public List<ServerIncarnation> leaving(int digests) {
        return mPool.recentlyLeaving(digests);
    }

    @Override
    public List<DomainDemand> domainDemands() {
        return mPool.spillover().demands();
    }

    @Override
    public CrashNews crashes(int digests) {
        return mPool.crashes().news(digests);
    }

    @Override
    public void heard(PeerEndpoint peer, Digest digest) {
        mPublished.heard(digest.publishedRevision());
        mPool.heard(peer, digest);
    }

    @Override
    public void members(Membership membership) {
        mPool.members(membership);
    }
}
