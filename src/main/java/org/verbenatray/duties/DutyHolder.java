package org.verbenatray.duties;

/**
 * Who does a duty.
 *
 * @param instance the name of the instance
 * @param fencingToken the fencing token of its lease
 */
public record DutyHolder(String instance, long fencingToken) {}
