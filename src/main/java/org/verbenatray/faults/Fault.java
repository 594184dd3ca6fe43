package org.verbenatray.faults;

/**
 * One fault of a plan.
 *
 * @param kind the kind
 * @param atMillis when it begins, in milliseconds after the start of the run
 * @param forMillis how long it lasts where it lasts, in milliseconds
 * @param target the number from which the affected instance, engine or value is found
 */
public record Fault(FaultKind kind, long atMillis, long forMillis, int target) {}
