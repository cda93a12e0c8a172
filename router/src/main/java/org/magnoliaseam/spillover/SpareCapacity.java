package org.magnoliaseam.spillover;

import java.util.ArrayList;
import java.util.List;
import org.magnoliaseam.model.FailureDomain;

/**
 * Divides the spare capacity of failure domains over those that have more work than capacity. All
 * entry VMs compute the division from the same reports, so that the domains together send no more
 * into a domain than it has room for, without waiting for reports of what the others send.
 */
final class SpareCapacity {

    /** Prevents instances of this utility class. */
    private SpareCapacity() {}

    /**
     * Returns the work that a failure domain may send to each other one.
     *
     * @param home the failure domain
     * @param loads all failure domains
     * @return the work for each domain that gets some; in total at most the excess of the domain
     */
    static List<Crossing> of(FailureDomain home, List<DomainLoad> loads) {
        double excess = 0;
        double spare = 0;
        double ownExcess = 0;
        for (DomainLoad load : loads) {
            excess += load.excess();
            spare += load.spare();
            ownExcess += load.domain().equals(home) ? load.excess() : 0;
        }
        List<Crossing> crossings = new ArrayList<>();
        if (ownExcess <= 0 || spare <= 0) {
            return crossings;
        }
        for (DomainLoad target : loads) {
            double part = target.spare() / Math.max(excess, spare);
            double left = target.spare() - claimed(home, loads, target, part);
            double own = Math.min(ownExcess * part, left);
            if (own > 0 && !target.domain().equals(home)) {
                crossings.add(new Crossing(target.domain(), own));
            }
        }
        return crossings;
    }

    /**
     * Returns the capacity of a domain that the other sending domains use.
     *
     * @param home the failure domain for which the rest is computed
     * @param loads all failure domains
     * @param target the domain
     * @param part the fraction of the excess of each sending domain that the domain gets
     * @return the larger of their parts and what they report to send, in servers
     */
    private static double claimed(
            FailureDomain home, List<DomainLoad> loads, DomainLoad target, double part) {
        double claimed = 0;
        for (DomainLoad load : loads) {
            if (!load.domain().equals(home) && !load.domain().equals(target.domain())) {
                claimed += Math.max(load.excess() * part, load.sentTo(target.domain()));
            }
        }
        return claimed;
    }
}
