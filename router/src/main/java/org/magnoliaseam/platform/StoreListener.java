package org.magnoliaseam.platform;

import java.util.List;

/** Takes what the metadata store holds under one prefix. */
interface StoreListener {

    /**
     * Takes all items under the prefix; what is missing is gone.
     *
     * @param items the items
     */
    void snapshot(List<StoreItem> items);

    /**
     * Takes changes in order.
     *
     * @param changes the changes
     */
    void changed(List<StoreItem> changes);

    /** Notes that the store answers again after failed calls. */
    void regained();

    /** Notes that everything up to now is known. */
    void confirmed();
}
