package org.magnoliaseam.gateway;

import java.util.List;

/**
 * Describes the prompt of a request to a model engine.
 *
 * @param parts the parts in order; the last belongs to the request or its session alone
 * @param tokens the tokens of the whole prompt
 * @param maxOutputTokens the most tokens of the answer
 */
public record Prompt(List<PromptPart> parts, int tokens, int maxOutputTokens) {

    /** The prompt of a request without one. */
    public static final Prompt NONE = new Prompt(List.of(), 0, 0);

    /**
     * Returns the parts that other requests may bring too.
     *
     * @return all parts but the last; the only part if there is one
     */
    public List<PromptPart> sharedParts() {
        return parts.size() < 2 ? parts : parts.subList(0, parts.size() - 1);
    }

    /**
     * Returns the text that decides which backend servers keep the prompt.
     *
     * @return the id of the last shared part; empty if there is none
     */
    public String affinityKey() {
        List<PromptPart> shared = sharedParts();
        return shared.isEmpty() ? "" : shared.get(shared.size() - 1).id();
    }

    /**
     * Returns the tokens that the request occupies at most.
     *
     * @return prompt and answer tokens
     */
    public long memoryTokens() {
        return (long) tokens + maxOutputTokens;
    }
}
