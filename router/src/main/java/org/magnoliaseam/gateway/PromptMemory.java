package org.magnoliaseam.gateway;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates which prompt parts a model engine keeps: the most recently used ones that fit into its
 * memory. Not thread-safe.
 */
final class PromptMemory {

    /** The share of the memory that parts use beside running requests. */
    private static final double USABLE_SHARE = 0.8;

    /** The tokens by part, least recently used first. */
    private final Map<String, Integer> mParts = new LinkedHashMap<>(64, 0.75f, true);

    /** The tokens of all parts. */
    private long mTokens;

    /**
     * Notes that a part has been read or used.
     *
     * @param part the part
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
     * Returns the tokens of a prompt that the engine has to read.
     *
     * @param prompt the prompt
     * @return the tokens from the first part on that it does not keep
     */
    long unread(Prompt prompt) {
        long kept = 0;
        for (PromptPart part : prompt.parts()) {
            if (!mParts.containsKey(part.id())) {
                break;
            }
            kept += part.tokens();
        }
        return Math.max(0, prompt.tokens() - kept);
    }

    /** Forgets everything, since the engine has lost its memory. */
    void clear() {
        mParts.clear();
        mTokens = 0;
    }
}
