package org.verbenatray.configuration;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;

/**
 * The entries that the latest accepted change sets changed, used to detect conflicts with concurrent change sets.
 *
 * <p>The oldest changes are evicted beyond the bounds of {@link ConfigurationLimits}. A change set that is based on an
 * offset before the newest evicted change can no longer be checked.
 */
final class RecentChanges {
    /** Oldest first. */
    private final Deque<AcceptedChange> changes = new ArrayDeque<>();

    /** The total of {@link AcceptedChange#keyCount()} over the retained changes. */
    private int keyCount;

    private Optional<EvictedChange> newestEvicted = Optional.empty();

    private RecentChanges() {}

    /** Returns an instance without changes. */
    static RecentChanges create() {
        return new RecentChanges();
    }

    /** Returns an instance with the exported content. */
    static RecentChanges of(Exported exported) {
        RecentChanges recent = create();
        recent.newestEvicted = exported.forgotten();
        exported.changes().forEach(recent::add);
        return recent;
    }

    /** Returns the content for a snapshot. */
    Exported export() {
        return new Exported(List.copyOf(changes), newestEvicted);
    }

    /** Adds an accepted change and evicts the oldest ones beyond the bounds. */
    void add(AcceptedChange change) {
        changes.addLast(change);
        keyCount += change.keyCount();
        while (changes.size() > ConfigurationLimits.MAX_RETAINED_CHANGES
                || keyCount > ConfigurationLimits.MAX_RETAINED_KEYS) {
            AcceptedChange oldest = changes.removeFirst();
            keyCount -= oldest.keyCount();
            newestEvicted = Optional.of(new EvictedChange(oldest.offset(), oldest.author()));
        }
    }

    /** Returns the newest evicted change if its offset is greater than the given one. */
    Optional<EvictedChange> evictedAfter(long follows) {
        return newestEvicted.filter(change -> change.offset() > follows);
    }

    /** Returns the latest retained change of a file. */
    Optional<AcceptedChange> latestChangeOf(String file) {
        return changes.stream()
                .filter(change -> change.entriesByFile().containsKey(file))
                .reduce((earlier, later) -> later);
    }

    /** Returns the first change after an offset that changed one of the entries through another file. */
    Optional<ConflictingChange> firstConflictAfter(long follows, String file, Set<String> entries) {
        for (AcceptedChange change : changes) {
            if (change.offset() <= follows) {
                continue;
            }
            for (Map.Entry<String, SortedSet<String>> other :
                    change.entriesByFile().entrySet()) {
                if (!other.getKey().equals(file) && ChangedEntries.overlap(other.getValue(), entries)) {
                    return Optional.of(new ConflictingChange(change.offset(), change.author(), other.getKey()));
                }
            }
        }
        return Optional.empty();
    }

    /**
     * An accepted change.
     *
     * @param offset the offset of its record
     * @param author the author
     * @param entriesByFile the entries that changed in each of its files
     */
    record AcceptedChange(long offset, String author, SortedMap<String, SortedSet<String>> entriesByFile) {
        /** Returns the number of retained keys: one for each file and one for each entry. */
        int keyCount() {
            return entriesByFile.size()
                    + entriesByFile.values().stream().mapToInt(Set::size).sum();
        }
    }

    /**
     * An accepted change whose entries are no longer retained.
     *
     * @param offset its offset
     * @param author its author
     */
    record EvictedChange(long offset, String author) {}

    /**
     * An accepted change that conflicts with another change set.
     *
     * @param offset its offset
     * @param author its author
     * @param file the file through which it changed the entry
     */
    record ConflictingChange(long offset, String author, String file) {}

    /**
     * The exported content for a snapshot.
     *
     * @param changes the retained changes, oldest first
     * @param forgotten the newest evicted change
     */
    record Exported(List<AcceptedChange> changes, Optional<EvictedChange> forgotten) {}
}
