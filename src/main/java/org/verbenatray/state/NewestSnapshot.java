package org.verbenatray.state;

/**
 * The location of the newest accepted snapshot in the log.
 *
 * @param offset the offset of the snapshot record
 * @param upTo the first offset that the snapshot does not include
 * @param atMillis the time at which its author created it, in milliseconds since the epoch by the author's clock
 */
public record NewestSnapshot(long offset, long upTo, long atMillis) {}
