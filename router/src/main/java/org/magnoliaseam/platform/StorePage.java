package org.magnoliaseam.platform;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.magnoliaseam.rollout.Revision;

/**
 * Holds one page of items or changes of the metadata store.
 *
 * @param items the items or changes in order
 * @param more whether another page follows
 * @param revision the revision of the store at the time of the response
 */
record StorePage(List<StoreItem> items, boolean more, Revision revision) {

    /**
     * Appends the next page. An empty page is the last one.
     *
     * @param next the next page
     * @return the items of both pages
     * @throws StoreException if the store came back from a copy in between
     */
    StorePage followedBy(StorePage next) {
        next.requireEraOf(this);
        List<StoreItem> joined = new ArrayList<>(items);
        joined.addAll(next.items());
        return new StorePage(joined, next.more() && !next.items().isEmpty(), next.revision());
    }

    /**
     * Applies changes. An item that is newer than a change of its key keeps its value.
     *
     * @param changes the changes in order
     * @return the items that exist after the changes, at the revision of the changes
     * @throws StoreException if the store came back from a copy in between
     */
    StorePage with(StorePage changes) {
        changes.requireEraOf(this);
        Map<String, StoreItem> newest = new LinkedHashMap<>();
        items.forEach(item -> newest.put(item.key(), item));
        for (StoreItem change : changes.items()) {
            newest.merge(
                    change.key(),
                    change,
                    (known, changed) ->
                            changed.revision().isLaterThan(known.revision()) ? changed : known);
        }
        newest.values().removeIf(StoreItem::removed);
        return new StorePage(List.copyOf(newest.values()), false, changes.revision());
    }

    /**
     * Checks that this page continues an earlier one.
     *
     * @param earlier the earlier page
     * @throws StoreException if the store came back from a copy in between
     */
    private void requireEraOf(StorePage earlier) {
        if (revision.era() != earlier.revision.era()) {
            throw new StoreException("restored while it was read", 0);
        }
    }
}
