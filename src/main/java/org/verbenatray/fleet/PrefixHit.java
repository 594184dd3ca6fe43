package org.verbenatray.fleet;

/**
 * An engine whose prefix cache holds the start of a prompt.
 *
 * @param engine the engine's name
 * @param blocks the number of leading prompt blocks in its prefix cache
 */
public record PrefixHit(String engine, int blocks) {}
