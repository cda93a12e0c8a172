package org.magnoliaseam.gateway;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds items that are included in several digests each, so that all other entry VMs receive them.
 * Not thread-safe.
 *
 * @param <T> the type of the items
 */
final class RepeatedItems<T> {

    /** The number of full digests that the items may fill; the oldest items are dropped. */
    private static final int MAX_PENDING_DIGESTS = 8;

    /** The largest number of items in a digest, which is a single datagram. */
    private final int mMaxItems;

    /** The number of digests that have included each item. */
    private final Map<T, Integer> mIncluded = new LinkedHashMap<>();

    /**
     * Creates an empty collection.
     *
     * @param maxItems the largest number of items in a digest
     */
    RepeatedItems(int maxItems) {
        mMaxItems = maxItems;
    }

    /**
     * Adds an item, which is then included anew.
     *
     * @param item the item
     */
    void add(T item) {
        mIncluded.put(item, 0);
        if (mIncluded.size() > MAX_PENDING_DIGESTS * mMaxItems) {
            mIncluded.remove(mIncluded.keySet().iterator().next());
        }
    }

    /**
     * Returns the items for the next digest.
     *
     * @param digests the number of digests that include each item
     * @return the items
     */
    List<T> next(int digests) {
        mIncluded.values().removeIf(included -> included >= digests);
        List<T> items = new ArrayList<>();
        for (T item : mIncluded.keySet()) {
            if (items.size() < mMaxItems) {
                items.add(item);
            }
        }
        items.forEach(item -> mIncluded.merge(item, 1, Integer::sum));
        return items;
    }
}
