package org.verbenatray.fleet;

import java.util.ArrayDeque;
import java.util.Deque;

/** The load changes that the last report of one engine does not cover. Not thread-safe. */
final class LoadJournal {
    /** The largest number of entries. */
    private final int maxEntries;

    /** The entries, oldest first. */
    private final Deque<Entry> entries = new ArrayDeque<>();

    /** The sum of all entries. */
    private LoadChange sum = LoadChange.NONE;

    /** Creates an instance from its parts. */
    private LoadJournal(int maxEntries) {
        this.maxEntries = maxEntries;
    }

    /** Returns an empty journal that keeps at most the given number of entries. */
    static LoadJournal create(int maxEntries) {
        return new LoadJournal(maxEntries);
    }

    /** Adds a change. When full, the two oldest entries become one with the later time. */
    void add(LoadChange change, long atNanos) {
        sum = sum.plus(change);
        entries.addLast(new Entry(change, atNanos));
        if (entries.size() > maxEntries) {
            Entry first = entries.removeFirst();
            Entry second = entries.removeFirst();
            entries.addFirst(new Entry(first.change().plus(second.change()), second.atNanos()));
        }
    }

    /** Drops the entries up to the given time because a report covers them. */
    void coveredUntil(long nanos) {
        while (!entries.isEmpty() && entries.peekFirst().atNanos() - nanos <= 0) {
            sum = sum.plus(entries.removeFirst().change().negated());
        }
    }

    /** Drops all entries. */
    void clear() {
        entries.clear();
        sum = LoadChange.NONE;
    }

    /** Returns the sum of the changes that no report covers. */
    LoadChange sum() {
        return sum;
    }

    /** Returns the number of entries. */
    int size() {
        return entries.size();
    }

    /**
     * A change with its time.
     *
     * @param change the change
     * @param atNanos the time of the change
     */
    private record Entry(LoadChange change, long atNanos) {}
}
