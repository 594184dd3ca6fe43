package org.verbenatray.placement;

/**
 * A part of a prompt that several requests may share.
 *
 * @param id the name of the part
 * @param tokens its size in tokens
 */
public record PromptPart(String id, int tokens) {}
