package org.magnoliaseam.platform;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

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

    /**
     * Applies changes. An item that is newer than a change of its key keeps its value.
     *
     * @param changes the changes in order
     * @return the items that exist after the changes, at the revision of the changes
     */
    StorePage with(StorePage changes) {
        Map<String, StoreItem> newest = new LinkedHashMap<>();
        items.forEach(item -> newest.put(item.key(), item));
        for (StoreItem change : changes.items()) {
            newest.merge(
                    change.key(),
                    change,
                    (known, changed) -> changed.revision() > known.revision() ? changed : known);
        }
        newest.values().removeIf(StoreItem::removed);
        return new StorePage(List.copyOf(newest.values()), false, changes.revision());
    }
}
