package org.verbenatray.configuration;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.stream.Stream;

/** The latest accepted and rejected change sets; a flood of rejections does not displace acceptances. */
final class ChangeHistory {
    /** The accepted changes, oldest first. */
    private final Deque<HistoryEntry> accepted = new ArrayDeque<>();

    /** The rejected changes, oldest first. */
    private final Deque<HistoryEntry> rejected = new ArrayDeque<>();

    /** Creates an empty history. */
    private ChangeHistory() {}

    /** Returns an empty history. */
    static ChangeHistory create() {
        return new ChangeHistory();
    }

    /** Returns a history of the given entries. */
    static ChangeHistory of(List<HistoryEntry> entries) {
        ChangeHistory history = create();
        entries.forEach(history::add);
        return history;
    }

    /** Adds an entry and drops the oldest of its kind beyond the bound. */
    void add(HistoryEntry entry) {
        boolean wasRejected = entry.rejection().isPresent();
        Deque<HistoryEntry> entries = wasRejected ? rejected : accepted;
        int bound = wasRejected ? ConfigurationLimits.HISTORY_REJECTED : ConfigurationLimits.HISTORY_ACCEPTED;
        entries.addLast(entry);
        if (entries.size() > bound) {
            entries.removeFirst();
        }
    }

    /** Returns all entries in the order of their offsets. */
    List<HistoryEntry> entries() {
        return Stream.concat(accepted.stream(), rejected.stream())
                .sorted(Comparator.comparingLong(HistoryEntry::offset))
                .toList();
    }
}
