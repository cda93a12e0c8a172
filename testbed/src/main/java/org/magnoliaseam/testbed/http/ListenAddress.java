package org.magnoliaseam.testbed.http;

/**
 * Holds a loopback address to listen on or to connect to.
 *
 * @param host the host
 * @param port the port; 0 chooses a free one
 */
public record ListenAddress(String host, int port) {

    /** The only host that stand-ins listen on. */
    public static final String LOOPBACK = "127.0.0.1";

    /**
     * Rejects addresses that other machines can reach.
     *
     * @throws IllegalArgumentException if the host is not the loopback address
     */
    public ListenAddress {
        if (!LOOPBACK.equals(host)) {
            throw new IllegalArgumentException("The host must be " + LOOPBACK + ", not " + host);
        }
    }

    /**
     * Parses {@code HOST:PORT}.
     *
     * @param text the text
     * @return the address
     * @throws IllegalArgumentException if the text is malformed
     */
    public static ListenAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("The address needs the form HOST:PORT: " + text);
        }
        return new ListenAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /**
     * Returns a loopback address.
     *
     * @param port the port; 0 chooses a free one
     * @return the address
     */
    public static ListenAddress loopback(int port) {
        return new ListenAddress(LOOPBACK, port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
