package org.verbenatray.placement;

/**
 * A contiguous block of a prompt's prefix, which several requests may share.
 *
 * @param id the id of the block, equal for equal content
 * @param tokens the size of the block in tokens
 */
public record PromptBlock(String id, int tokens) {}
