/**
 * Tells the other entry VMs several times a second what this one sends to which backend server, so
 * that all of them place requests by the same picture. Messages are small datagrams: a late load is
 * worth nothing, so none is sent again, and nothing that must hold rests on them.
 */
package org.magnoliaseam.gossip;
