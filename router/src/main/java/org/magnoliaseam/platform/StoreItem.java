package org.magnoliaseam.platform;

import org.magnoliaseam.rollout.Revision;

/**
 * Holds an item of the metadata store or the removal of one.
 *
 * @param key the key
 * @param value the bytes; null if the item was removed
 * @param revision the revision of the change
 */
record StoreItem(String key, byte[] value, Revision revision) {

    /**
     * Returns whether the item was removed.
     *
     * @return true for a removal
     */
    boolean removed() {
        return value == null;
    }
}
