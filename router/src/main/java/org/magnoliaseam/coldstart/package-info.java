/**
 * Holds the rules for backend servers in cold start: which one entry VM may send to such a server,
 * how many requests, and when the server counts as warm.
 */
package org.magnoliaseam.coldstart;
