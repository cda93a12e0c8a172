package org.magnoliaseam.cli;

import java.net.URI;
import java.net.URISyntaxException;

/**
 * Holds the address of the operators' port of an entry VM.
 *
 * @param host a host name or an IP address
 * @param port the port
 */
record OperatorsAddress(String host, int port) {

    /**
     * Parses an address from the command line.
     *
     * @param text the host and the port, separated by a colon
     * @return the address
     * @throws UsageException if the text is malformed
     */
    static OperatorsAddress parse(String text) throws UsageException {
        try {
            URI uri = new URI("http://" + text);
            boolean hostAndPortOnly =
                    uri.getHost() != null
                            && uri.getPort() > 0
                            && text.equals(uri.getHost() + ":" + uri.getPort());
            if (hostAndPortOnly) {
                return new OperatorsAddress(uri.getHost(), uri.getPort());
            }
        } catch (URISyntaxException e) {
            throw malformed(text);
        }
        throw malformed(text);
    }

    /**
     * Creates the exception for a malformed address.
     *
     * @param text the malformed text
     * @return the exception
     */
    private static UsageException malformed(String text) {
        return new UsageException("--address must be HOST:PORT, not \"" + text + "\"");
    }

    /**
     * Returns the address of a page.
     *
     * @param path the path and query of the page
     * @return the address
     */
    URI resolve(String path) {
        return URI.create("http://" + this + path);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
