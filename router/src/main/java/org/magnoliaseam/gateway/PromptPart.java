package org.magnoliaseam.gateway;

/**
 * Names a part of a prompt that several requests may share.
 *
 * @param id the part
 * @param tokens its length in tokens
 */
public record PromptPart(String id, int tokens) {}
