package org.magnoliaseam.gossip;

import org.magnoliaseam.model.BackendServerId;

/**
 * Reports that a prompt part, which several requests may share, has been sent to a backend server.
 *
 * @param server the backend server
 * @param part the id of the part
 * @param tokens the length of the part in tokens
 */
public record PartRead(BackendServerId server, String part, int tokens) {}
