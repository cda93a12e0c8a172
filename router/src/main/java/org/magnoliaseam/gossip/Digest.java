package org.magnoliaseam.gossip;

import java.util.List;

/**
 * Holds what an entry VM tells the others.
 *
 * @param incarnation a random number that differs between two starts of the sender
 * @param sequence the number of the digest within the incarnation
 * @param vms the entry VMs that the sender has heard lately, with itself
 * @param peers some entry VMs that the sender hears
 * @param loads what it has running at backend servers
 * @param demands the work that it got lately
 * @param reads the prompt parts that it sent to backend servers lately
 */
public record Digest(
        long incarnation,
        long sequence,
        int vms,
        List<PeerEndpoint> peers,
        List<ServerLoad> loads,
        List<Demand> demands,
        List<PartRead> reads) {}
