/**
 * Exchanges heartbeats, configurations and forwarded requests with other entry VMs. This package
 * only transports them; routing decisions are made elsewhere.
 */
package org.magnoliaseam.peer;
