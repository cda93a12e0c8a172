package org.magnoliaseam.testbed.harness;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import org.magnoliaseam.testbed.http.ListenAddress;

/** Allocates free loopback ports. */
public final class Ports {

    /** The lowest port to allocate. */
    private static final int FIRST_PORT = 12_000;

    /** The exclusive upper bound of the ports; outgoing connections use ports from 32,768 on. */
    private static final int LAST_PORT = 32_000;

    /** The number of ports to test before giving up. */
    private static final int MAX_ATTEMPTS = 100;

    /** The allocated ports; each port is allocated only once. */
    private static final Set<Integer> ALLOCATED = ConcurrentHashMap.newKeySet();

    /** Prevents instances of this utility class. */
    private Ports() {}

    /**
     * Allocates a free port that this process has not allocated before.
     *
     * @return the loopback address with the port
     * @throws UncheckedIOException if there is no free port
     */
    public static ListenAddress free() {
        while (true) {
            int port = findFree();
            if (ALLOCATED.add(port)) {
                return ListenAddress.loopback(port);
            }
        }
    }

    /**
     * Finds a free port below the range that the system uses for outgoing connections. An outgoing
     * connection could otherwise take the port before its process listens.
     *
     * @return the port
     * @throws UncheckedIOException if all tested ports are in use
     */
    private static int findFree() {
        IOException last = null;
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getByName(ListenAddress.LOOPBACK))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                last = e;
            }
        }
        throw new UncheckedIOException(last);
    }
}
