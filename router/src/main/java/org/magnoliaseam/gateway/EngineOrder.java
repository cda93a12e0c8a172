package org.magnoliaseam.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import org.magnoliaseam.model.FailureDomain;

/** Orders the engines of a service alike at all entry VMs. */
final class EngineOrder {

    /** The middle of a place in the order of a failure domain. */
    private static final double MIDDLE = 0.5;

    /** Prevents instances of this utility class. */
    private EngineOrder() {}

    /**
     * Orders engines by their hash.
     *
     * @param engines the engines
     * @param balanced whether each section of the order has its part of the engines of every
     *     failure domain, so that requests that stay in their domain find all groups there
     * @return the engines in order
     */
    static List<BackendServerState> of(List<BackendServerState> engines, boolean balanced) {
        List<BackendServerState> ordered = new ArrayList<>(engines);
        ordered.sort(Comparator.comparingLong(BackendServerState::hash));
        if (!balanced) {
            return ordered;
        }
        Map<FailureDomain, Integer> sizes = new HashMap<>();
        engines.forEach(state -> sizes.merge(state.entry().failureDomain(), 1, Integer::sum));
        Map<FailureDomain, Integer> ranks = new HashMap<>();
        Map<BackendServerState, Double> places = new IdentityHashMap<>();
        for (BackendServerState state : ordered) {
            FailureDomain domain = state.entry().failureDomain();
            int rank = ranks.merge(domain, 1, Integer::sum);
            places.put(state, (rank - MIDDLE) / sizes.get(domain));
        }
        ordered.sort(Comparator.comparingDouble(places::get));
        return ordered;
    }
}
