/**
 * Defines the types by which the packages that communicate with callers, peers and backend servers
 * exchange requests and responses.
 */
package org.magnoliaseam.exchange;
