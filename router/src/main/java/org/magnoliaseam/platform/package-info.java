/**
 * Translates between the router and the users' platform: its metadata store, its callers and its
 * backend servers. It makes no routing decisions. Only the code that assembles the process imports
 * this package.
 */
package org.magnoliaseam.platform;
