package org.magnoliaseam.gossip;

import java.util.Set;

/**
 * Holds the entry VMs that may be alive and use their shares of common limits, including those that
 * are silent at the moment.
 *
 * @param own this entry VM
 * @param others the other entry VMs from which a digest was received lately
 * @param vms the number of entry VMs that may be alive, including this one; takes the counts of the
 *     peers into account
 * @param settled whether enough time has passed since the start to learn of the other entry VMs
 */
public record Membership(PeerEndpoint own, Set<PeerEndpoint> others, int vms, boolean settled) {}
