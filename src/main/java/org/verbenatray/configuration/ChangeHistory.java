package org.verbenatray.configuration;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.stream.Stream;

/**
 * The latest accepted and rejected change sets.
 *
 * <p>Both kinds have a bound of their own, so that many rejections do not displace accepted changes.
 */
final class ChangeHistory {
    /** Oldest first. */
    private final Deque<HistoryEntry> accepted = new ArrayDeque<>();

    /** Oldest first. */
    private final Deque<HistoryEntry> rejected = new ArrayDeque<>();

    private ChangeHistory() {}

    /** Returns an empty history. */
    static ChangeHistory create() {
        return new ChangeHistory();
    }

    /** Returns a history with the given entries, which have to be ordered by offset. */
    static ChangeHistory of(List<HistoryEntry> entries) {
        ChangeHistory history = create();
        entries.forEach(history::add);
        return history;
    }

    /** Adds an entry and removes the oldest entry of the same kind if their number exceeds its bound. */
    void add(HistoryEntry entry) {
        boolean wasRejected = entry.rejection().isPresent();
        Deque<HistoryEntry> entries = wasRejected ? rejected : accepted;
        int bound = wasRejected ? ConfigurationLimits.MAX_HISTORY_REJECTED : ConfigurationLimits.MAX_HISTORY_ACCEPTED;
        entries.addLast(entry);
        if (entries.size() > bound) {
            entries.removeFirst();
        }
    }

    /** Returns all entries, ordered by offset. */
    List<HistoryEntry> entries() {
        return Stream.concat(accepted.stream(), rejected.stream())
                .sorted(Comparator.comparingLong(HistoryEntry::offset))
                .toList();
    }
}
