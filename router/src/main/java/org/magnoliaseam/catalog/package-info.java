/**
 * Holds the configuration that a deployment publishes to its entry VMs: routes, services, client
 * accounts and the current backend servers. The values are immutable and independent of any wire
 * format.
 */
package org.magnoliaseam.catalog;
