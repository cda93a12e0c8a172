package org.magnoliaseam.platform;

import java.util.ArrayList;
import java.util.List;

/**
 * Holds one page of items or changes of the metadata store.
 *
 * @param items the items or changes in order
 * @param more whether another page follows
 * @param revision the revision of the store at the time of the response
 */
record StorePage(List<StoreItem> items, boolean more, long revision) {

    /**
     * Appends the next page. An empty page is the last one.
     *
     * @param next the next page
     * @return the items of both pages
     */
    StorePage followedBy(StorePage next) {
        List<StoreItem> joined = new ArrayList<>(items);
        joined.addAll(next.items());
        return new StorePage(joined, next.more() && !next.items().isEmpty(), next.revision());
    }
}
