package org.magnoliaseam.gateway;

import java.util.List;

/**
 * Describes the prompt of a request to a model engine.
 *
 * @param parts the parts in order; the last is specific to the request or its session
 * @param tokens the number of tokens of the whole prompt
 * @param maxOutputTokens the largest number of tokens of the answer
 */
public record Prompt(List<PromptPart> parts, int tokens, int maxOutputTokens) {

    /** The prompt of a request without one. */
    public static final Prompt NONE = new Prompt(List.of(), 0, 0);

    /**
     * Returns the parts that other requests may share.
     *
     * @return all parts but the last; the only part if there is one
     */
    public List<PromptPart> sharedParts() {
        return parts.size() < 2 ? parts : parts.subList(0, parts.size() - 1);
    }

    /**
     * Returns the tokens that are specific to the request.
     *
     * @return the tokens of the prompt beyond its shared parts
     */
    public long ownTokens() {
        long shared = 0;
        for (PromptPart part : sharedParts()) {
            shared += part.tokens();
        }
        return parts.size() < 2 ? tokens : Math.max(0, tokens - shared);
    }

    /**
     * Returns the key that selects the preferred backend server of the prompt.
     *
     * @return the id of the last shared part; empty if there is none
     */
    public String affinityKey() {
        List<PromptPart> shared = sharedParts();
        return shared.isEmpty() ? "" : shared.get(shared.size() - 1).id();
    }

    /**
     * Returns the largest number of tokens that the request occupies in engine memory.
     *
     * @return prompt and answer tokens
     */
    public long memoryTokens() {
        return (long) tokens + maxOutputTokens;
    }
}
