package org.magnoliaseam.gateway;

/**
 * Identifies a part of a prompt that several requests may share.
 *
 * @param id the id of the part
 * @param tokens its length in tokens
 */
public record PromptPart(String id, int tokens) {}
