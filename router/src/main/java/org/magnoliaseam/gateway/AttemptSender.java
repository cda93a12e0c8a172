package org.magnoliaseam.gateway;

import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.exchange.Cancellation;

/** Sends attempts to backend servers in their protocol. */
@FunctionalInterface
public interface AttemptSender {

    /**
     * Starts an attempt; returns at once. The listener may be called before this method returns.
     *
     * @param order the attempt
     * @param listener receives the answer
     * @return cancels the attempt and closes its connection, so that the backend server stops too
     */
    Cancellation start(TryOrder order, AttemptListener listener);

    /**
     * Closes the connections to a backend server that no attempt uses.
     *
     * @param server the backend server
     */
    default void closeIdle(ServerEntry server) {}
}
