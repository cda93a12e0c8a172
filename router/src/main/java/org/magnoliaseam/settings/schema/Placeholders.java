package org.magnoliaseam.settings.schema;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;

/** Holds the placeholders for missing values that are used while other faults are collected. */
final class Placeholders {

    /** The placeholder for a name. */
    static final String NAME = "none";

    /** The placeholder for the address of an HTTP server. */
    static final URI HTTP_ADDRESS = URI.create("http://0.0.0.0:1");

    /** The placeholder for an address to listen on. */
    static final InetSocketAddress SOCKET_ADDRESS =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

    /** Prevents instances of this utility class. */
    private Placeholders() {}
}
