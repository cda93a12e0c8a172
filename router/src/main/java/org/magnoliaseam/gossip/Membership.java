package org.magnoliaseam.gossip;

import java.util.Set;

/**
 * Holds which entry VMs may live and use their shares of common limits, also those that are not
 * heard at the moment.
 *
 * @param own this entry VM
 * @param others the other entry VMs that were heard lately
 * @param vms the number of entry VMs that may live, with this one; what peers count is included
 * @param settled whether this entry VM has had the time to hear of the others since its start
 */
public record Membership(PeerEndpoint own, Set<PeerEndpoint> others, int vms, boolean settled) {}
