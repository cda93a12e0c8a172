package org.magnoliaseam.gossip;

import org.magnoliaseam.model.BackendServerId;

/**
 * Holds the load that one entry VM puts on a backend server.
 *
 * @param server the backend server
 * @param running the attempts in progress there
 * @param pendingTokens the prompt tokens of attempts that wait for their first event
 */
public record ServerLoad(BackendServerId server, int running, long pendingTokens) {}
