package org.magnoliaseam.exchange;

/** Cancels an exchange in progress. */
@FunctionalInterface
public interface Cancellation {

    /** Cancels the exchange; has no effect if it has ended. */
    void cancel();
}
