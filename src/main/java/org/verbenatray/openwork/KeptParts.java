package org.verbenatray.openwork;

import java.util.Map;

/**
 * Parts of a prompt that an engine was given.
 *
 * @param boot the start of the engine
 * @param processed whether it has processed them, so that others can fetch them
 * @param tokens the tokens of each part by its name, in the order of the prompt
 */
public record KeptParts(String boot, boolean processed, Map<String, Integer> tokens) {}
