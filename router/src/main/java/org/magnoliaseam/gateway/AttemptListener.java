package org.magnoliaseam.gateway;

import org.magnoliaseam.backend.BackendListener;
import org.magnoliaseam.pushback.NoticeFault;

/** Receives the answer of one attempt and what the backend server states about itself with it. */
public interface AttemptListener extends BackendListener {

    /**
     * Receives the time at which the connection of the attempt was made; called once the attempt
     * has a connection, before {@link #head}.
     *
     * @param openedNanos the local monotonic time
     */
    default void connected(long openedNanos) {}

    /**
     * Receives the load that the backend server reports.
     *
     * @param load the load
     */
    void load(ReportedLoad load);

    /**
     * Receives the time for which the backend server wants no requests of this entry VM; called
     * before {@link #head} and {@link #failed}.
     *
     * @param millis the time in milliseconds, above 0
     */
    void pushback(long millis);

    /**
     * Called when the backend server refuses the request before its start because it is full;
     * called before {@link #failed}.
     *
     * @return true if the request may be sent there again
     */
    default boolean full() {
        return false;
    }

    /**
     * Called when the answer has a header field about the backend server that cannot be used.
     *
     * @param fault what is wrong
     */
    void faultyNotice(NoticeFault fault);

    /** Called when the answer says that the backend server is leaving. */
    void leaving();
}
