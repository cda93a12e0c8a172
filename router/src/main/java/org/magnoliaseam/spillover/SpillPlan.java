package org.magnoliaseam.spillover;

import java.util.List;
import java.util.Optional;
import org.magnoliaseam.membership.StableHash;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.RequestId;

/**
 * Holds the requests of a service that leave their failure domain.
 *
 * @param share the fraction of requests that leave
 * @param targets the failure domains that get them, weighted by their work
 */
public record SpillPlan(double share, List<Crossing> targets) {

    /** The plan that keeps all requests. */
    public static final SpillPlan STAY = new SpillPlan(0, List.of());

    /** Selects the draws that decide which requests leave. */
    private static final int SPILL_SEED = 5;

    /**
     * Returns the failure domain that a request goes to. The draw depends on the request alone, so
     * that a request that waits is decided alike each time while the plan stays the same.
     *
     * @param request the request
     * @return the other failure domain; empty if the request stays
     */
    public Optional<FailureDomain> target(RequestId request) {
        double draw = StableHash.draw(request.value(), SPILL_SEED);
        if (draw >= share || targets.isEmpty()) {
            return Optional.empty();
        }
        double rest = draw / share * total();
        for (Crossing target : targets) {
            rest -= target.servers();
            if (rest < 0) {
                return Optional.of(target.to());
            }
        }
        return Optional.of(targets.get(targets.size() - 1).to());
    }

    /**
     * Returns the work that leaves.
     *
     * @return the sum over all targets, in servers
     */
    double total() {
        return targets.stream().mapToDouble(Crossing::servers).sum();
    }
}
