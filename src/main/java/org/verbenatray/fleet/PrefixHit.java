package org.verbenatray.fleet;

/**
 * An engine that holds a prefix of a prompt.
 *
 * @param engine the engine's name
 * @param pieces the leading pieces that it holds
 */
public record PrefixHit(String engine, int pieces) {}
