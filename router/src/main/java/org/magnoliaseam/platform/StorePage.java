package org.magnoliaseam.platform;

import java.util.List;

/**
 * Holds one page of items or changes of the metadata store.
 *
 * @param items the items or changes in order
 * @param more whether another page follows
 * @param revision the revision of the store at the time of the response
 */
record StorePage(List<StoreItem> items, boolean more, long revision) {}
