package org.verbenatray.openwork;

import java.util.Map;

/**
 * Parts of a prompt that an engine keeps from now on.
 *
 * @param boot the start of the engine
 * @param tokens the tokens of each part by its name, in the order of the prompt
 */
public record KeptParts(String boot, Map<String, Integer> tokens) {}
