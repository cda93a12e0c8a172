package org.magnoliaseam.spillover;

import java.util.List;
import org.magnoliaseam.model.FailureDomain;

/**
 * Holds what is known of demand and capacity of a failure domain for a service.
 *
 * @param domain the failure domain
 * @param servers the number of its backend servers that may get work
 * @param demand the work that arrives per second at its entry VMs, in backend servers that it keeps
 *     busy
 * @param heard whether any of its entry VMs has reported demand lately
 * @param sent the work that its entry VMs send to other failure domains
 */
public record DomainLoad(
        FailureDomain domain, int servers, double demand, boolean heard, List<Crossing> sent) {

    /** The utilisation up to which a failure domain keeps the work that arrives there. */
    static final double HOME_LIMIT = 0.85;

    /**
     * The utilisation up to which a failure domain gets work of others. It is below {@link
     * #HOME_LIMIT}, so that such work never makes the domain send away its own.
     */
    static final double GUEST_LIMIT = 0.75;

    /**
     * Returns the utilisation that the domain would have if it kept all its work.
     *
     * @return demand divided by capacity; infinite if there is demand without capacity
     */
    public double utilisation() {
        if (demand <= 0) {
            return 0;
        }
        return servers == 0 ? Double.POSITIVE_INFINITY : demand / servers;
    }

    /**
     * Returns the work that has to leave the domain.
     *
     * @return the work beyond the limit of the domain, in servers
     */
    double excess() {
        return heard ? Math.max(0, demand - HOME_LIMIT * servers) : 0;
    }

    /**
     * Returns the capacity for work of other domains, before any of it has been used.
     *
     * @return the capacity in servers; 0 if nothing has been heard of the domain
     */
    double spare() {
        return heard ? Math.max(0, GUEST_LIMIT * servers - demand) : 0;
    }

    /**
     * Returns the work that the domain sends to another one.
     *
     * @param other the other domain
     * @return the work in servers
     */
    double sentTo(FailureDomain other) {
        return sent.stream()
                .filter(crossing -> crossing.to().equals(other))
                .mapToDouble(Crossing::servers)
                .sum();
    }
}
