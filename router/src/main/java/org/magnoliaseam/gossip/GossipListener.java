package org.magnoliaseam.gossip;

import java.util.List;
import org.magnoliaseam.leaving.ServerIncarnation;
import org.magnoliaseam.rollout.Revision;
import org.magnoliaseam.spillover.DomainDemand;
import org.magnoliaseam.suspect.CrashNews;

/** Supplies the state to report to the other entry VMs, and receives their digests. */
public interface GossipListener {

    /**
     * Returns the revision of the newest change of the publisher that this entry VM has applied.
     *
     * @return the revision; {@link Revision#NONE} if none
     */
    Revision publishedRevision();

    /**
     * Returns the load that this entry VM puts on backend servers.
     *
     * @return the loads that are not zero
     */
    List<ServerLoad> loads();

    /**
     * Returns the recent demand at this entry VM.
     *
     * @return the demands
     */
    List<Demand> demands();

    /**
     * Returns the prompt parts that this entry VM has sent to backend servers lately.
     *
     * @param digests the number of digests that include each part
     * @return the parts
     */
    List<PartRead> reads(int digests);

    /**
     * Returns the starts of backend servers that this entry VM has found to be leaving lately.
     *
     * @param digests the number of digests that include each
     * @return the starts of backend servers
     */
    List<ServerIncarnation> leaving(int digests);

    /**
     * Returns the demand that arrives at this entry VM, for each service that may leave its failure
     * domain.
     *
     * @return the demands
     */
    List<DomainDemand> domainDemands();

    /**
     * Returns what this entry VM knows of crashes of backend servers lately.
     *
     * @param digests the number of digests that include each notice
     * @return the notices
     */
    CrashNews crashes(int digests);

    /**
     * Handles a digest of a peer.
     *
     * @param peer the peer
     * @param digest the digest
     */
    void heard(PeerEndpoint peer, Digest digest);

    /**
     * Receives the entry VMs that may be alive; called periodically.
     *
     * @param membership the entry VMs that share common limits
     */
    void members(Membership membership);
}
