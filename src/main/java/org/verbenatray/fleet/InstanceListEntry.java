package org.verbenatray.fleet;

/**
 * A backend server in the platform's instance list.
 *
 * @param name the engine's name
 * @param incarnation a number that grows with each start of the engine
 * @param leaving whether the list shows it as leaving
 */
public record InstanceListEntry(String name, long incarnation, boolean leaving) {}
