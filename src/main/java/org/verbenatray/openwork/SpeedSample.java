package org.verbenatray.openwork;

/**
 * How fast an engine has generated output for one request.
 *
 * @param boot the boot id of the engine
 * @param gapMillis the longest time between two events, in milliseconds
 */
public record SpeedSample(String boot, double gapMillis) {}
