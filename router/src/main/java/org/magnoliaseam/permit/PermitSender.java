package org.magnoliaseam.permit;

import org.magnoliaseam.gossip.PeerEndpoint;

/** Sends messages about permits to other entry VMs. */
@FunctionalInterface
public interface PermitSender {

    /**
     * Sends a message; it may be lost.
     *
     * @param peer the entry VM
     * @param message the message
     */
    void send(PeerEndpoint peer, PermitMessage message);
}
