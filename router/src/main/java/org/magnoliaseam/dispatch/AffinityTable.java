package org.magnoliaseam.dispatch;

import org.magnoliaseam.model.BackendServerId;

/**
 * Maps each prompt prefix to the server that last received a request with it. The table has a fixed
 * size: a prefix overwrites another one with the same index.
 */
final class AffinityTable {

    /** The number of entries; a power of two. */
    private static final int CAPACITY = 4096;

    /** The multiplier that spreads the keys over the table. */
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    /** The hashes of the prefixes; 0 marks a free entry. */
    private final long[] mKeys = new long[CAPACITY];

    /** The servers that last received the prefixes, by the index of the key. */
    private final BackendServerId[] mServers = new BackendServerId[CAPACITY];

    /**
     * Records that a prefix was sent to a server.
     *
     * @param key the hash of the prefix; 0 is ignored
     * @param server the server
     */
    void record(long key, BackendServerId server) {
        if (key == 0) {
            return;
        }
        int index = index(key);
        mKeys[index] = key;
        mServers[index] = server;
    }

    /**
     * Looks up a prefix.
     *
     * @param key the hash of the prefix
     * @return the server that last received it, or null if that is not known
     */
    BackendServerId server(long key) {
        int index = index(key);
        return key != 0 && mKeys[index] == key ? mServers[index] : null;
    }

    /**
     * Computes the index of a key.
     *
     * @param key the key
     * @return the index in the table
     */
    private static int index(long key) {
        return (int) ((key * HASH_MULTIPLIER) >>> 32) & (CAPACITY - 1);
    }
}
