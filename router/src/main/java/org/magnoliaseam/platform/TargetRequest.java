package org.magnoliaseam.platform;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpConversation;
import org.eclipse.jetty.client.transport.HttpRequest;

/**
 * Sends a target as its caller wrote it. The path of a plain request is parsed as a URI reference,
 * which takes the first part of a path with two leading slashes for a host.
 */
final class TargetRequest extends HttpRequest {

    /** The path, up to the first question mark. */
    private final String mPath;

    /** The query after the first question mark; null if the target has none. */
    private final String mQuery;

    /**
     * Creates a request.
     *
     * @param client the HTTP client
     * @param server the address of the backend server
     * @param target the target: a path, with a query if there is one
     */
    TargetRequest(HttpClient client, InetSocketAddress server, String target) {
        super(client, new HttpConversation(), origin(server));
        int mark = target.indexOf('?');
        mPath = mark < 0 ? target : target.substring(0, mark);
        mQuery = mark < 0 ? null : target.substring(mark + 1);
    }

    /**
     * Returns the origin that selects the connections of the request.
     *
     * @param server the address of the backend server
     * @return the origin
     */
    private static URI origin(InetSocketAddress server) {
        try {
            return new URI(
                    "http", null, server.getHostString(), server.getPort(), null, null, null);
        } catch (URISyntaxException e) {
            throw new IllegalArgumentException("The address has no valid host.", e);
        }
    }

    @Override
    public String getPath() {
        return mPath;
    }

    @Override
    public String getQuery() {
        return mQuery;
    }
}
