package org.verbenatray.fleet;

import java.util.ArrayDeque;
import java.util.Deque;

/** The timed load changes of one engine that its last report does not include. Not thread-safe. */
final class LoadJournal {
    private final int maxEntries;

    /** The entries, oldest first. */
    private final Deque<Entry> entries = new ArrayDeque<>();

    private LoadChange sum = LoadChange.NONE;

    private LoadJournal(int maxEntries) {
        this.maxEntries = maxEntries;
    }

    /** Returns an empty journal that keeps at most the given number of entries. */
    static LoadJournal create(int maxEntries) {
        return new LoadJournal(maxEntries);
    }

    /** Adds a change. If the journal is full, the two oldest entries are merged into one with the later time. */
    void add(LoadChange change, long atNanos) {
        sum = sum.plus(change);
        entries.addLast(new Entry(change, atNanos));
        if (entries.size() > maxEntries) {
            Entry first = entries.removeFirst();
            Entry second = entries.removeFirst();
            entries.addFirst(new Entry(first.change().plus(second.change()), second.atNanos()));
        }
    }

    /** Removes the entries up to and including the given time, which a report includes. */
    void removeUntil(long nanos) {
        while (!entries.isEmpty() && entries.peekFirst().atNanos() - nanos <= 0) {
            sum = sum.plus(entries.removeFirst().change().negated());
        }
    }

    /** Removes all entries. */
    void clear() {
        entries.clear();
        sum = LoadChange.NONE;
    }

    /** Returns the sum of all changes in the journal. */
    LoadChange sum() {
        return sum;
    }

    /** Returns the number of entries. */
    int size() {
        return entries.size();
    }

    /**
     * A load change and its time.
     *
     * @param change the change
     * @param atNanos the monotonic time of the change
     */
    private record Entry(LoadChange change, long atNanos) {}
}
