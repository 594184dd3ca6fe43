package org.verbenatray.capacity;

import java.util.ArrayDeque;
import java.util.Deque;
import org.verbenatray.time.Deadline;

/** The largest of the values that were recorded lately. */
final class RecentPeak {
    /** The time for which a value counts, in milliseconds. */
    private static final long RETENTION_MILLIS = 60_000;

    /** Values that no later one exceeds, oldest and largest first. */
    private final Deque<Entry> entries = new ArrayDeque<>();

    private RecentPeak() {}

    /** Creates a peak without values. */
    static RecentPeak create() {
        return new RecentPeak();
    }

    /** Records a value at the given time. */
    void record(int value, long nowNanos) {
        while (!entries.isEmpty() && entries.peekLast().value() <= value) {
            entries.removeLast();
        }
        entries.addLast(new Entry(value, Deadline.afterMillis(nowNanos, RETENTION_MILLIS)));
    }

    /** Returns the largest value of the last time, zero if there is none. */
    int value(long nowNanos) {
        while (!entries.isEmpty() && entries.peekFirst().expiry().hasPassed(nowNanos)) {
            entries.removeFirst();
        }
        return entries.isEmpty() ? 0 : entries.peekFirst().value();
    }

    /** A value that counts until its expiry. */
    private record Entry(int value, Deadline expiry) {}
}
