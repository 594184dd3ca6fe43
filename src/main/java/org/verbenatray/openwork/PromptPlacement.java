package org.verbenatray.openwork;

import java.util.Map;

/**
 * The placement of a prompt at an engine.
 *
 * @param bootId the boot id of the engine
 * @param processed true if the engine has processed the prompt, so that other engines can fetch it
 * @param blockTokens the number of tokens of each block by its id, in the order of the prompt
 */
public record PromptPlacement(String bootId, boolean processed, Map<String, Integer> blockTokens) {}
