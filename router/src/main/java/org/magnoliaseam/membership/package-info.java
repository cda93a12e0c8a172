/**
 * Selects the entry VMs with which an entry VM holds connections. All functions depend only on the
 * list of members, so that every entry VM with the same list computes the same graph.
 */
package org.magnoliaseam.membership;
