/**
 * Reports several times a second to the other entry VMs what this one sends to each backend server,
 * so that all of them select backend servers from about the same data. Digests are small datagrams
 * that are never retransmitted, since an outdated load is useless. No guarantee depends on their
 * delivery.
 */
package org.magnoliaseam.gossip;
