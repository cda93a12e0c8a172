/**
 * Combines the components of a router process: executes the decisions of the dispatcher, keeps the
 * state of each request, and starts and stops the process. The package contains no policy.
 */
package org.magnoliaseam.route;
