package org.magnoliaseam.testbed.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/** Caches the most recently used prompt prefixes. It is used by one thread. */
final class PrefixCache {

    /** The length of a prefix in characters. */
    private static final int PREFIX_LENGTH = 256;

    /** The load factor of the underlying map. */
    private static final float MAP_LOAD_FACTOR = 0.75f;

    /** The cached prefixes, the least recently used first. */
    private final Map<String, Boolean> mPrefixes;

    /**
     * Creates an empty cache.
     *
     * @param size the number of prefixes that the cache holds
     */
    PrefixCache(int size) {
        mPrefixes =
                new LinkedHashMap<>(size, MAP_LOAD_FACTOR, true) {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                        return size() > size;
                    }
                };
    }

    /**
     * Looks a prompt up and caches its prefix.
     *
     * @param prompt the prompt
     * @return whether the prefix was cached
     */
    boolean use(String prompt) {
        String prefix = prompt.substring(0, Math.min(PREFIX_LENGTH, prompt.length()));
        return mPrefixes.put(prefix, Boolean.TRUE) != null;
    }

    /** Removes all prefixes. */
    void clear() {
        mPrefixes.clear();
    }
}
