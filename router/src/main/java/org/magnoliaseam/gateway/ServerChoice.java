package org.magnoliaseam.gateway;

import java.util.Optional;
import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.spillover.SpillReason;

/** Describes whether an attempt of a request starts, and on which backend server. */
sealed interface ServerChoice {

    /**
     * Starts the attempt on a backend server.
     *
     * @param server the backend server
     * @param entry its published entry at the selection
     * @param uncachedTokens the prompt tokens that it has to process, since it does not cache them
     * @param limits the prompt tokens that may wait at the engine before its own
     * @param pushbacks the number of times that the backend server has asked for no requests
     * @param measurable whether the time to the first event measures the processing speed: no other
     *     prompt waited there, and the shared parts were cached there, as far as is known
     * @param guarded whether the request is kept from other guarded ones
     * @param cacheSource the engine from which it fetches cached prompt parts, if any
     * @param domain why the failure domain of the backend server, if that restricted the request
     * @param reason the inputs of the decision, for the log
     */
    record Start(
            BackendServerState server,
            ServerEntry entry,
            long uncachedTokens,
            ServerRoom.Limits limits,
            int pushbacks,
            boolean measurable,
            boolean guarded,
            Optional<ServerEntry> cacheSource,
            Optional<SpillReason> domain,
            String reason)
            implements ServerChoice {}

    /**
     * Keeps the request waiting until a backend server has room.
     *
     * @param kind the error kind if no backend server has room in time
     * @param selective whether others have room, but waiting for the engine that caches the prompt
     *     costs less than processing the prompt again
     * @param guarded whether others have room, but the request must not run beside another guarded
     *     one
     * @param notBeforeNanos the local monotonic time before which no backend server takes the
     *     request, because all of them have asked for no requests; now if there is none
     * @param pushedBack the number of backend servers that want no requests at the moment
     * @param wanted the backend server that a selective wait is for
     */
    record Wait(
            ErrorKind kind,
            boolean selective,
            boolean guarded,
            long notBeforeNanos,
            int pushedBack,
            Optional<WantedServer> wanted)
            implements ServerChoice {

        /**
         * Keeps a request waiting for any backend server.
         *
         * @param kind the error kind if the request is refused in the end
         * @param selective whether others have room
         * @param guarded whether it waits since it must not run beside another guarded one
         * @param notBeforeNanos the local monotonic time before which no backend server takes it
         * @param pushedBack the number of backend servers that want no requests at the moment
         */
        Wait(
                ErrorKind kind,
                boolean selective,
                boolean guarded,
                long notBeforeNanos,
                int pushedBack) {
            this(kind, selective, guarded, notBeforeNanos, pushedBack, Optional.empty());
        }

        /**
         * Keeps a request waiting for one backend server while others have room.
         *
         * @param wanted the backend server
         * @param nowNanos the local monotonic time
         * @param pushedBack the number of backend servers that want no requests at the moment
         * @return the decision
         */
        static Wait forServer(WantedServer wanted, long nowNanos, int pushedBack) {
            return new Wait(
                    ErrorKind.OVERLOADED, true, false, nowNanos, pushedBack, Optional.of(wanted));
        }
    }
}
