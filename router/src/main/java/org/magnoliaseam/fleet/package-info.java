/**
 * Holds immutable views of the fleet on which decisions are based: members, backend servers and
 * peer summaries. The package reads no clock and opens no socket.
 */
package org.magnoliaseam.fleet;
