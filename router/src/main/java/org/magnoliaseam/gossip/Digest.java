package org.magnoliaseam.gossip;

import java.util.List;
import org.magnoliaseam.leaving.ServerIncarnation;
import org.magnoliaseam.rollout.Revision;
import org.magnoliaseam.spillover.DomainDemand;
import org.magnoliaseam.suspect.CrashNews;

/**
 * Holds the state that an entry VM reports to the others.
 *
 * @param incarnation a random number that differs between two starts of the sender
 * @param sequence the number of the digest within the incarnation
 * @param vms the number of entry VMs that the sender has received digests from lately, including
 *     itself
 * @param publishedRevision the revision of the newest change of the publisher that the sender has
 *     applied; {@link Revision#NONE} if none
 * @param peers some entry VMs that the sender receives digests from
 * @param loads the load that it puts on backend servers
 * @param demands its recent demand
 * @param reads the prompt parts that it has sent to backend servers lately
 * @param leaving the starts of backend servers that it has found to be leaving lately
 * @param domainDemands the demand that arrives at it, for each service that may leave its failure
 *     domain
 * @param crashes what it knows of crashes of backend servers lately
 */
public record Digest(
        long incarnation,
        long sequence,
        int vms,
        Revision publishedRevision,
        List<PeerEndpoint> peers,
        List<ServerLoad> loads,
        List<Demand> demands,
        List<PartRead> reads,
        List<ServerIncarnation> leaving,
        List<DomainDemand> domainDemands,
        CrashNews crashes) {}
