/**
 * Holds the tickets that ensure that a request which must not be repeated runs at most once. Only
 * the process that issued a ticket may run the request. It keeps the ticket in memory only; nothing
 * is stored elsewhere.
 */
package org.magnoliaseam.ticket;
