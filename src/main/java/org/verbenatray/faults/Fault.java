package org.verbenatray.faults;

/**
 * One fault of a plan.
 *
 * @param kind the kind
 * @param startMillis the start in milliseconds after the start of the run
 * @param durationMillis the duration in milliseconds; ignored by kinds without a duration
 * @param target a random number that selects the affected instance, engine or value
 */
public record Fault(FaultKind kind, long startMillis, long durationMillis, int target) {}
