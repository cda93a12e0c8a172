/**
 * Serves the requests of a published catalog: admits them, places each try on a backend server,
 * repeats what may be repeated, and passes whole answers on. The protocols of callers and backend
 * servers stand behind {@link org.magnoliaseam.gateway.GatewaySink} and {@link
 * org.magnoliaseam.gateway.TryPort}.
 */
package org.magnoliaseam.gateway;
