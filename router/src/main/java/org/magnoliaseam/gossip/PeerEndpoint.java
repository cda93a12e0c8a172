package org.magnoliaseam.gossip;

import java.net.InetSocketAddress;

/**
 * Identifies an entry VM by its peer address.
 *
 * @param host the IP address, or the host name if it is not resolved
 * @param port the port
 */
public record PeerEndpoint(String host, int port) {

    /**
     * Converts a socket address.
     *
     * @param address the address
     * @return the endpoint
     */
    public static PeerEndpoint of(InetSocketAddress address) {
        String host =
                address.isUnresolved()
                        ? address.getHostString()
                        : address.getAddress().getHostAddress();
        return new PeerEndpoint(host, address.getPort());
    }

    /**
     * Returns the socket address.
     *
     * @return the address to send to
     */
    InetSocketAddress address() {
        return new InetSocketAddress(host, port);
    }
}
