package org.magnoliaseam.spillover;

import org.magnoliaseam.model.FailureDomain;

/**
 * Holds the work that goes to another failure domain.
 *
 * @param to the other failure domain
 * @param servers the work per second, in backend servers that it keeps busy
 */
public record Crossing(FailureDomain to, double servers) {

    /** The work below which a crossing is not reported, in servers. */
    static final double NEGLIGIBLE = 1e-4;
}
