/**
 * Communicates with backend servers: HTTP calls, server-sent events, load reports and cancellation.
 * It does not choose the backend server of a request.
 */
package org.magnoliaseam.backend;
