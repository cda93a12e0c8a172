package org.magnoliaseam.permit;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.magnoliaseam.gossip.DatagramReceiver;
import org.magnoliaseam.gossip.GossipNode;
import org.magnoliaseam.gossip.PeerEndpoint;

/** Carries messages about permits in datagrams between the peer ports of entry VMs. */
public final class PermitDatagrams implements PermitSender {

    /** Sends and receives datagrams. */
    private final GossipNode mNode;

    /**
     * Creates a carrier.
     *
     * @param node sends and receives datagrams
     */
    public PermitDatagrams(GossipNode node) {
        mNode = node;
    }

    @Override
    public void send(PeerEndpoint peer, PermitMessage message) {
        try {
            mNode.send(peer, PermitCodec.encode(message));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns a receiver that passes messages about permits on.
     *
     * @param permits handles the messages
     * @return the receiver
     */
    public static DatagramReceiver receiver(EnginePermits permits) {
        return (peer, bytes, length) -> {
            if (!PermitCodec.isPermit(bytes, length)) {
                return false;
            }
            permits.heard(peer, PermitCodec.decode(bytes, length));
            return true;
        };
    }
}
