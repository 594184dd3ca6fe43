package org.verbenatray.fleet;

/**
 * An engine as shown in the platform's instance list.
 *
 * @param name the engine's name
 * @param incarnation a number that increases with each start of the engine
 * @param leaving whether the list shows the engine as about to stop
 */
public record ListedEngine(String name, long incarnation, boolean leaving) {}
