package org.magnoliaseam.gossip;

import org.magnoliaseam.model.BackendServerId;

/**
 * Says that a backend server has read a prompt part that several requests share.
 *
 * @param server the backend server
 * @param part the part
 * @param tokens the length of the part in tokens
 */
public record PartRead(BackendServerId server, String part, int tokens) {}
