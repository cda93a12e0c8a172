package org.magnoliaseam.backend;

import org.magnoliaseam.exchange.Cancellation;

/** Sends requests to backend servers. */
@FunctionalInterface
public interface BackendClient {

    /**
     * Starts one attempt without waiting for it.
     *
     * @param call the attempt
     * @param listener receives the response
     * @return cancels the attempt at the backend server; the listener is still notified of its end
     */
    Cancellation start(BackendCall call, BackendListener listener);
}
