/**
 * Serves the requests of a published catalog: admits them, selects a backend server for each
 * attempt, retries where a request may be repeated, and passes on complete answers. The protocols
 * of callers and backend servers are implemented behind {@link
 * org.magnoliaseam.gateway.GatewaySink} and {@link org.magnoliaseam.gateway.AttemptSender}.
 */
package org.magnoliaseam.gateway;
