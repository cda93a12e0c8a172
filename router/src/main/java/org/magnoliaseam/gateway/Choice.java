package org.magnoliaseam.gateway;

import org.magnoliaseam.error.ErrorKind;

/** Holds the decision where a try of a request goes. */
sealed interface Choice {

    /**
     * Sends the try to a backend server.
     *
     * @param server the backend server
     * @param unreadTokens the prompt tokens that it has to read
     * @param alone whether nothing else waited to be read there
     * @param reason the inputs that decided, for the log
     */
    record Start(ServerState server, long unreadTokens, boolean alone, String reason)
            implements Choice {}

    /**
     * Keeps the request until a backend server has room.
     *
     * @param kind the kind of the refusal if none has room in time
     */
    record Wait(ErrorKind kind) implements Choice {}
}
