/**
 * Holds what a deployment publishes to its entry VMs: routes, services, client accounts and the
 * backend servers that come and go. Immutable values without any wire format.
 */
package org.magnoliaseam.catalog;
