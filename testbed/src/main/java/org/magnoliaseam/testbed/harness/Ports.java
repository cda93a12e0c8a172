package org.magnoliaseam.testbed.harness;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import org.magnoliaseam.testbed.http.ListenAddress;

/** Finds free loopback ports. */
public final class Ports {

    /** The lowest port to hand out. */
    private static final int FIRST_PORT = 12_000;

    /** The end of the ports to hand out; outgoing connections use ports from 32,768 on. */
    private static final int LAST_PORT = 32_000;

    /** The ports to try before giving up. */
    private static final int MAX_TRIES = 100;

    /** The ports that were handed out, so that none is handed out twice. */
    private static final Set<Integer> USED = ConcurrentHashMap.newKeySet();

    /** Prevents instances of this holder. */
    private Ports() {}

    /**
     * Finds a free port that this process has not handed out before.
     *
     * @return the loopback address with the port
     * @throws UncheckedIOException if there is no free port
     */
    public static ListenAddress free() {
        while (true) {
            int port = candidate();
            if (USED.add(port)) {
                return ListenAddress.loopback(port);
            }
        }
    }

    /**
     * Looks for a free port below those that the system hands out to outgoing connections, which
     * could take the port before its process listens.
     *
     * @return the port
     * @throws UncheckedIOException if many ports in a row are in use
     */
    private static int candidate() {
        IOException last = null;
        for (int i = 0; i < MAX_TRIES; i++) {
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
