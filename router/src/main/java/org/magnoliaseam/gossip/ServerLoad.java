package org.magnoliaseam.gossip;

import org.magnoliaseam.model.BackendServerId;

/**
 * Holds what one entry VM has running at a backend server.
 *
 * @param server the backend server
 * @param running the tries that run there
 * @param pendingTokens the prompt tokens of those that wait for their first event
 */
public record ServerLoad(BackendServerId server, int running, long pendingTokens) {}
