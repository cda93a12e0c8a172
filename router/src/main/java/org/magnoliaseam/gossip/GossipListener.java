package org.magnoliaseam.gossip;

import java.util.List;

/** Gives what this entry VM tells, and takes what the others tell. */
public interface GossipListener {

    /**
     * Returns what this entry VM has running at backend servers.
     *
     * @return the loads that are not zero
     */
    List<ServerLoad> loads();

    /**
     * Returns the work that this entry VM got lately.
     *
     * @return the demands
     */
    List<Demand> demands();

    /**
     * Returns the prompt parts that this entry VM sent to backend servers lately.
     *
     * @param digests the digests in which each part is to be named
     * @return the parts
     */
    List<PartRead> reads(int digests);

    /**
     * Takes what a peer tells.
     *
     * @param peer the peer
     * @param digest what it tells
     */
    void heard(PeerEndpoint peer, Digest digest);

    /**
     * Takes which entry VMs may live.
     *
     * @param membership the entry VMs that share common limits
     */
    void members(Membership membership);
}
