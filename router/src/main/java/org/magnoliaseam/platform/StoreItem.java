package org.magnoliaseam.platform;

/**
 * Holds one item of the metadata store, or its removal.
 *
 * @param key the key
 * @param value the bytes; null if the item was removed
 * @param revision the revision of the change
 */
record StoreItem(String key, byte[] value, long revision) {

    /**
     * Tells whether the item was removed.
     *
     * @return true for a removal
     */
    boolean removed() {
        return value == null;
    }
}
