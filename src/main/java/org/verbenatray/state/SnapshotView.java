package org.verbenatray.state;

/**
 * What the decision to append a snapshot looks at.
 *
 * @param position the offset of the record that this instance applies next
 * @param covered the first offset that the newest snapshot does not cover, 0 without a snapshot
 * @param firstRetained the oldest offset in the log
 * @param ageMillis the age of the newest snapshot in milliseconds
 * @param rank the place of this instance among all in [0, 1), by which they act one after the other
 */
public record SnapshotView(long position, long covered, long firstRetained, long ageMillis, double rank) {}
