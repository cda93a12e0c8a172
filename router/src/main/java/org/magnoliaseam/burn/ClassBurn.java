package org.magnoliaseam.burn;

import java.util.List;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.Tier;

/**
 * Holds the error budget burn of one request class.
 *
 * @param id the class
 * @param tier the tier of the class
 * @param objective the fraction of requests that must meet the targets
 * @param state the urgency of the burn
 * @param windows the counts in the order of {@link BurnWindow}
 * @param rates the burn rates in the order of {@link BurnWindow}
 * @param timeline the counts in the buckets of {@link BurnCounts#TIMELINE_WINDOW}, oldest first
 * @param causes the causes of missed targets, most missed requests first
 * @param accounts the client accounts with the most missed requests, most first
 * @param failureDomains the failure domains of backend servers, most missed requests first
 */
public record ClassBurn(
        RequestClassId id,
        Tier tier,
        double objective,
        BurnState state,
        List<BurnCount> windows,
        List<Double> rates,
        List<BurnCount> timeline,
        List<BurnPart> causes,
        List<BurnPart> accounts,
        List<BurnPart> failureDomains) {}
