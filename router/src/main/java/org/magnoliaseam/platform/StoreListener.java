package org.magnoliaseam.platform;

import java.util.List;

/** Receives the items of the metadata store under one prefix. */
interface StoreListener {

    /**
     * Receives all items under the prefix. Items that are not listed no longer exist.
     *
     * @param items the items
     */
    void snapshot(List<StoreItem> items);

    /**
     * Receives all items after the store came back from a copy. They are older than some that were
     * delivered before; everything that the copy lacks is written again.
     *
     * @param items the items
     */
    void restored(List<StoreItem> items);

    /**
     * Receives changes in the order in which they were made.
     *
     * @param changes the changes
     */
    void changed(List<StoreItem> changes);

    /** Called when the store answers after an outage in which entries may have expired. */
    void returned();

    /** Called when all changes up to now have been delivered. */
    void upToDate();
}
