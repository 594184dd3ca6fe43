package org.verbenatray.state;

/**
 * The input of {@link SnapshotPolicy}.
 *
 * @param position the offset of the next record that this instance applies
 * @param coveredUpTo the first offset that the newest snapshot does not include, zero without a snapshot
 * @param firstRetained the oldest retained offset of the log
 * @param ageMillis the age of the newest snapshot, in milliseconds
 * @param staggerFraction a number in [0, 1) that differs by instance and shifts the thresholds, so that instances do
 *     not append snapshots at the same time
 */
public record SnapshotStatus(
        long position, long coveredUpTo, long firstRetained, long ageMillis, double staggerFraction) {}
