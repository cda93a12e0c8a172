package org.magnoliaseam.burn;

import java.util.List;

/**
 * Holds the counts of one cause, client account or failure domain.
 *
 * @param name the name
 * @param windows the counts in the order of {@link BurnWindow}
 */
public record BurnPart(String name, List<BurnCount> windows) {}
