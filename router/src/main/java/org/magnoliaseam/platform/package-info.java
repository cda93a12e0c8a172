/**
 * Translates between the product and the users' platform: its metadata store, its callers and its
 * backend servers. Decisions stand elsewhere; only the wiring of the process imports this package.
 */
package org.magnoliaseam.platform;
