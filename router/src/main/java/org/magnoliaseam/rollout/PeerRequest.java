package org.magnoliaseam.rollout;

import org.magnoliaseam.model.VmId;

/**
 * A request to a peer for its configuration.
 *
 * @param peer the peer
 * @param newerThan the version in force here; 0 if none
 */
public record PeerRequest(VmId peer, long newerThan) {}
