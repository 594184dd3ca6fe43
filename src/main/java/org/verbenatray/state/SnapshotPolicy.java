package org.verbenatray.state;

/**
 * Decides when an instance appends a snapshot. The thresholds differ by instance, so that normally one of them appends
 * and the others see its snapshot before their own thresholds are reached.
 *
 * @param intervalRecords the number of records after the newest snapshot from which on a snapshot is due
 * @param maxAgeMillis the age of the newest snapshot from which on a snapshot is due, in milliseconds; must be well
 *     below the retention time of the log, because an idle log would lose its only snapshot otherwise
 */
public record SnapshotPolicy(long intervalRecords, long maxAgeMillis) {
    /** The fraction of the retained log, from its oldest record on, in which the newest snapshot must not end. */
    private static final double EXPIRING_FRACTION = 0.25;

    /** Returns a policy for a log that retains records for at least half an hour and at least 32,768 records. */
    public static SnapshotPolicy defaults() {
        return new SnapshotPolicy(8_192, 10 * 60 * 1_000L);
    }

    /** Returns whether an instance with the given status must append a snapshot. */
    public boolean isDue(SnapshotStatus status) {
        long newRecords = status.position() - status.coveredUpTo();
        if (newRecords <= 0) {
            return false;
        }
        boolean many = newRecords >= intervalRecords * (1 + status.staggerFraction());
        boolean old = status.ageMillis() >= maxAgeMillis * (1 + status.staggerFraction() / 2);
        return many || old || expiresSoon(status);
    }

    /** Returns whether the newest snapshot ends among the oldest retained records or before them. */
    private static boolean expiresSoon(SnapshotStatus status) {
        if (status.firstRetained() == 0) {
            return false;
        }
        long retained = status.position() - status.firstRetained();
        long distance = status.coveredUpTo() - status.firstRetained();
        return distance < retained * EXPIRING_FRACTION * (1 - status.staggerFraction() / 2);
    }
}
