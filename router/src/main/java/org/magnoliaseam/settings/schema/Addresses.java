package org.magnoliaseam.settings.schema;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses network addresses without name resolution. */
final class Addresses {

    /** The accepted form of an IP address and a port. */
    private static final Pattern SOCKET =
            Pattern.compile("((?:\\d{1,3}\\.){3}\\d{1,3}|\\[[0-9a-fA-F:.]{2,45}\\]):(\\d{1,5})");

    /** The only accepted scheme. */
    private static final String HTTP = "http";

    /** The largest value of one part of an IPv4 address. */
    private static final int MAX_BYTE = 255;

    /** The highest port. */
    private static final int MAX_PORT = 65_535;

    /** Prevents instances of this utility class. */
    private Addresses() {}

    /**
     * Parses an IP address and a port.
     *
     * @param text the text
     * @return the address, or empty if the text is malformed
     */
    static Optional<InetSocketAddress> socketAddress(String text) {
        Matcher matcher = SOCKET.matcher(text);
        if (!matcher.matches() || !isPort(Integer.parseInt(matcher.group(2)))) {
            return Optional.empty();
        }
        String host = matcher.group(1).replaceAll("[\\[\\]]", "");
        if (!host.contains(":") && !isIpv4(host)) {
            return Optional.empty();
        }
        try {
            InetAddress address = InetAddress.getByName(host);
            return Optional.of(new InetSocketAddress(address, Integer.parseInt(matcher.group(2))));
        } catch (UnknownHostException e) {
            return Optional.empty();
        }
    }

    /**
     * Parses an HTTP address of scheme, host and port.
     *
     * @param text the text
     * @return the address, or empty if the text is malformed
     */
    static Optional<URI> httpAddress(String text) {
        try {
            URI uri = new URI(text);
            boolean hostAndPortOnly =
                    HTTP.equals(uri.getScheme())
                            && uri.getHost() != null
                            && isPort(uri.getPort())
                            && uri.getRawUserInfo() == null
                            && uri.getRawQuery() == null
                            && uri.getRawFragment() == null
                            && "".equals(uri.getRawPath());
            return hostAndPortOnly ? Optional.of(uri) : Optional.empty();
        } catch (URISyntaxException e) {
            return Optional.empty();
        }
    }

    /**
     * Tells whether a number is a port that a caller can connect to.
     *
     * @param port the number
     * @return true if it is one
     */
    private static boolean isPort(int port) {
        return port >= 1 && port <= MAX_PORT;
    }

    /**
     * Tells whether every part of a dotted IPv4 address fits into a byte.
     *
     * @param host the dotted address
     * @return true if it is an IPv4 address
     */
    private static boolean isIpv4(String host) {
        for (String part : host.split("\\.")) {
            if (Integer.parseInt(part) > MAX_BYTE) {
                return false;
            }
        }
        return true;
    }
}
