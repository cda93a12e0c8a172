package org.magnoliaseam.gateway;

import java.util.List;
import java.util.function.Predicate;

/**
 * Holds the candidates of one request in all failure domains.
 *
 * @param request the request
 * @param all the backend servers that may run the request now
 * @param reserved tells which of them are reserved for other requests
 * @param room tells which of them have room
 * @param nowNanos the local monotonic time
 */
record DomainCandidates(
        GatewayRequest request,
        List<BackendServerState> all,
        Predicate<BackendServerState> reserved,
        Predicate<BackendServerState> room,
        long nowNanos) {

    /**
     * Selects the candidates that have room.
     *
     * @param filter selects failure domains
     * @return the candidates; reserved ones only if there are no others in any failure domain
     */
    List<BackendServerState> withRoom(Predicate<BackendServerState> filter) {
        boolean allReserved = all.stream().allMatch(reserved);
        return all.stream()
                .filter(filter)
                .filter(state -> allReserved || !reserved.test(state))
                .filter(room)
                .toList();
    }

    /**
     * Returns the engine that processes the prompt in the shortest time.
     *
     * @param engines the engines
     * @return the engine; null if there is none
     */
    BackendServerState fastest(List<BackendServerState> engines) {
        BackendServerState fastest = null;
        for (BackendServerState engine : engines) {
            if (fastest == null || processing(engine) < processing(fastest)) {
                fastest = engine;
            }
        }
        return fastest;
    }

    /**
     * Predicts the time to process the prompt.
     *
     * @param engine the engine
     * @return the time in milliseconds
     */
    double processing(BackendServerState engine) {
        return engine.times().processingMillis(engine.uncachedTokens(request.prompt()), nowNanos);
    }
}
