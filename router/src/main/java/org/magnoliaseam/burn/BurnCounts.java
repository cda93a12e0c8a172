package org.magnoliaseam.burn;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.magnoliaseam.model.RequestClassId;

/**
 * Holds the counts of one or several entry VMs.
 *
 * @param sources the entry VMs
 * @param windows the counts of each key, in the order of {@link BurnWindow}
 * @param timelines the counts of each class in the buckets of {@link #TIMELINE_WINDOW}, oldest
 *     first
 */
public record BurnCounts(
        List<BurnSource> sources,
        Map<BurnKey, List<BurnCount>> windows,
        Map<RequestClassId, List<BurnCount>> timelines) {

    /** The window whose counts are also kept by bucket. */
    public static final BurnWindow TIMELINE_WINDOW = BurnWindow.ONE_HOUR;

    /** The order of keys in reports. */
    static final Comparator<BurnKey> ORDER =
            Comparator.comparing((BurnKey key) -> key.requestClass().value())
                    .thenComparing(BurnKey::dimension)
                    .thenComparing(BurnKey::name);

    /**
     * Adds the counts of other entry VMs.
     *
     * @param other the other counts
     * @return the sum
     */
    public BurnCounts plus(BurnCounts other) {
        List<BurnSource> sources = new ArrayList<>(sources());
        sources.addAll(other.sources);
        Map<BurnKey, List<BurnCount>> windows = new TreeMap<>(ORDER);
        windows.putAll(windows());
        other.windows.forEach((key, counts) -> windows.merge(key, counts, BurnCounts::sum));
        Map<RequestClassId, List<BurnCount>> timelines = new HashMap<>(timelines());
        other.timelines.forEach((id, counts) -> timelines.merge(id, counts, BurnCounts::sum));
        return new BurnCounts(sources, windows, timelines);
    }

    /**
     * Adds two lists element by element.
     *
     * @param one a list
     * @param other a list of the same length
     * @return the sums
     */
    private static List<BurnCount> sum(List<BurnCount> one, List<BurnCount> other) {
        List<BurnCount> sums = new ArrayList<>(one.size());
        for (int i = 0; i < one.size(); i++) {
            sums.add(one.get(i).plus(other.get(i)));
        }
        return sums;
    }
}
