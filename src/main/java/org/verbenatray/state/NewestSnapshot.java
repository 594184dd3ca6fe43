package org.verbenatray.state;

/**
 * Where the newest snapshot stands.
 *
 * @param offset the offset of the snapshot record
 * @param upTo the first offset that the snapshot does not cover
 * @param atMillis the wall clock of its author in milliseconds since the epoch
 */
public record NewestSnapshot(long offset, long upTo, long atMillis) {}
