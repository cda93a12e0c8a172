package org.magnoliaseam.fleet;

import org.magnoliaseam.model.VmId;

/**
 * Holds the last summary of a peer with the local time of its arrival.
 *
 * @param vm the peer
 * @param summary the last summary
 * @param receivedNanos the local monotonic time of arrival
 */
public record PeerView(VmId vm, PeerSummary summary, long receivedNanos) {}
