package org.magnoliaseam.platform;

import java.util.List;

/**
 * Holds one answer of the metadata store.
 *
 * @param items the items or changes in order
 * @param more whether another page follows
 * @param revision the revision of the store
 */
record StorePage(List<StoreItem> items, boolean more, long revision) {}
