package org.magnoliaseam.gateway;

import org.magnoliaseam.exchange.Cancellation;

/** Sends tries to backend servers in their protocol. */
@FunctionalInterface
public interface TryPort {

    /**
     * Starts a try; returns at once. The listener may be called before this method returns.
     *
     * @param order the try
     * @param listener takes the answer
     * @return stops the try and lets the backend server know by closing its connection
     */
    Cancellation start(TryOrder order, TryListener listener);
}
