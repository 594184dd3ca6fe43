package org.verbenatray.state;

/**
 * Decides when a snapshot must be appended.
 *
 * @param intervalRecords the number of records after the newest snapshot from which on a snapshot is due
 * @param maxAgeMillis the age of the newest snapshot from which on one is due, in milliseconds; well below the
 *     retention of the log, because an idle log would lose its only snapshot otherwise
 */
public record SnapshotPolicy(long intervalRecords, long maxAgeMillis) {
    /** The share of the retained log, counted from its oldest record, in which the newest snapshot must not lie. */
    private static final double OLD_SHARE = 0.25;

    /** Returns values for a log that keeps at least half an hour and 32,768 records. */
    public static SnapshotPolicy defaults() {
        return new SnapshotPolicy(8_192, 10 * 60 * 1_000L);
    }

    /** Returns whether an instance with the given view must append a snapshot. */
    public boolean isDue(SnapshotView view) {
        long records = view.position() - view.covered();
        if (records <= 0) {
            return false;
        }
        boolean many = records >= intervalRecords * (1 + view.rank());
        boolean old = view.ageMillis() >= maxAgeMillis * (1 + view.rank() / 2);
        return many || old || agesOutSoon(view);
    }

    /** Returns whether the newest snapshot lies among the oldest retained records or was dropped with them. */
    private static boolean agesOutSoon(SnapshotView view) {
        if (view.firstRetained() == 0) {
            return false;
        }
        long retained = view.position() - view.firstRetained();
        long distance = view.covered() - view.firstRetained();
        return distance < retained * OLD_SHARE * (1 - view.rank() / 2);
    }
}
