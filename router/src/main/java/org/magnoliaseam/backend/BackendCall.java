package org.magnoliaseam.backend;

import java.util.List;
import org.magnoliaseam.exchange.Header;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.Tier;
import org.magnoliaseam.settings.BackendServer;

/**
 * Holds one attempt to run a request at a backend server.
 *
 * @param server the backend server
 * @param id the request
 * @param tier the tier, whose rank is sent as the priority
 * @param method the HTTP method
 * @param path the path with query
 * @param headers the header fields to forward
 * @param body the body
 * @param resumeOffset the number of tokens that the caller already has
 * @param repeatable whether the request may be repeated; if not, it gets a new connection, since
 *     the backend server may have closed a pooled one
 * @param timeoutMillis the time limit for the whole response, in milliseconds; 0 if there is none
 */
public record BackendCall(
        BackendServer server,
        RequestId id,
        Tier tier,
        String method,
        String path,
        List<Header> headers,
        byte[] body,
        int resumeOffset,
        boolean repeatable,
        long timeoutMillis) {}
