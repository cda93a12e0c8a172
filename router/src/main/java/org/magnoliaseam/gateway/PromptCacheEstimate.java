package org.magnoliaseam.gateway;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates the content of the prompt cache of a model engine: the most recently used prompt parts
 * that fit into its memory. Not thread-safe.
 */
final class PromptCacheEstimate {

    /**
     * The fraction of the engine memory available to cached parts; running requests use the rest.
     */
    private static final double USABLE_SHARE = 0.8;

    /** The length in tokens by part, least recently used first. */
    private final Map<String, Integer> mParts = new LinkedHashMap<>(64, 0.75f, true);

    /** The total length of all parts in tokens. */
    private long mTokens;

    /**
     * Records that a part has been processed or used.
     *
     * @param part the id of the part
     * @param tokens its length in tokens
     * @param memoryTokens the memory of the engine in tokens
     */
    void use(String part, int tokens, long memoryTokens) {
        Integer before = mParts.put(part, tokens);
        mTokens += tokens - (before == null ? 0 : before);
        Iterator<Integer> oldest = mParts.values().iterator();
        while (mTokens > USABLE_SHARE * memoryTokens && mParts.size() > 1) {
            mTokens -= oldest.next();
            oldest.remove();
        }
    }

    /**
     * Returns the tokens of a prompt that the engine has to process.
     *
     * @param prompt the prompt
     * @return the number of tokens from the first uncached part on
     */
    long uncachedTokens(Prompt prompt) {
        long cached = 0;
        for (PromptPart part : prompt.parts()) {
            if (!mParts.containsKey(part.id())) {
                break;
            }
            cached += part.tokens();
        }
        return Math.max(0, prompt.tokens() - cached);
    }
}
