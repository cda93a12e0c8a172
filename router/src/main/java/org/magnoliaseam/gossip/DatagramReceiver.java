package org.magnoliaseam.gossip;

import java.io.IOException;

/** Receives the datagrams of other entry VMs that are not digests. */
@FunctionalInterface
public interface DatagramReceiver {

    /**
     * Handles a datagram if it has the format of the receiver.
     *
     * @param peer the sender
     * @param bytes the bytes of the datagram, valid during the call
     * @param length the number of bytes of the datagram in the array
     * @return false if the datagram has another format
     * @throws IOException if the datagram is malformed
     */
    boolean received(PeerEndpoint peer, byte[] bytes, int length) throws IOException;
}
