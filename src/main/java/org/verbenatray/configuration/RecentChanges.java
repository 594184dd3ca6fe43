package org.verbenatray.configuration;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;

/** The entries that the latest accepted changes touched, for judging changes whose author did not know them. */
final class RecentChanges {
    /** The remembered changes, oldest first. */
    private final Deque<AcceptedChange> changes = new ArrayDeque<>();

    /** The number of keys in the remembered changes. */
    private int keyCount;

    /** The newest change that was forgotten. */
    private Optional<Forgotten> forgotten = Optional.empty();

    /** Creates an empty memory. */
    private RecentChanges() {}

    /** Returns an empty memory. */
    static RecentChanges create() {
        return new RecentChanges();
    }

    /** Returns a memory with exported content. */
    static RecentChanges of(Exported exported) {
        RecentChanges recent = create();
        recent.forgotten = exported.forgotten();
        exported.changes().forEach(recent::add);
        return recent;
    }

    /** Returns the content for a snapshot. */
    Exported export() {
        return new Exported(List.copyOf(changes), forgotten);
    }

    /** Takes in an accepted change and forgets the oldest ones beyond the bounds. */
    void add(AcceptedChange change) {
        changes.addLast(change);
        keyCount += change.keyCount();
        while (changes.size() > ConfigurationLimits.MAX_REMEMBERED_CHANGES
                || keyCount > ConfigurationLimits.MAX_REMEMBERED_KEYS) {
            AcceptedChange oldest = changes.removeFirst();
            keyCount -= oldest.keyCount();
            forgotten = Optional.of(new Forgotten(oldest.offset(), oldest.author()));
        }
    }

    /** Returns the newest forgotten change when an author that follows the given offset does not know it. */
    Optional<Forgotten> forgottenAfter(long follows) {
        return forgotten.filter(change -> change.offset() > follows);
    }

    /** Returns the latest change of a file. */
    Optional<AcceptedChange> latestOf(String file) {
        return changes.stream()
                .filter(change -> change.entriesByFile().containsKey(file))
                .reduce((earlier, later) -> later);
    }

    /** Returns the first change after an offset that touched one of the entries through another file. */
    Optional<Rival> rivalAfter(long follows, String file, Set<String> entries) {
        for (AcceptedChange change : changes) {
            if (change.offset() <= follows) {
                continue;
            }
            for (Map.Entry<String, SortedSet<String>> other :
                    change.entriesByFile().entrySet()) {
                if (!other.getKey().equals(file) && ChangedEntries.overlap(other.getValue(), entries)) {
                    return Optional.of(new Rival(change.offset(), change.author(), other.getKey()));
                }
            }
        }
        return Optional.empty();
    }

    /**
     * An accepted change.
     *
     * @param offset the offset
     * @param author the author
     * @param entriesByFile the entries that each of its files touched
     */
    record AcceptedChange(long offset, String author, SortedMap<String, SortedSet<String>> entriesByFile) {
        /** Returns the number of remembered keys, where each file counts as one more. */
        int keyCount() {
            return entriesByFile.size()
                    + entriesByFile.values().stream().mapToInt(Set::size).sum();
        }
    }

    /**
     * The newest forgotten change.
     *
     * @param offset its offset
     * @param author its author
     */
    record Forgotten(long offset, String author) {}

    /**
     * A change that touched the same entry.
     *
     * @param offset its offset
     * @param author its author
     * @param file the file through which it did
     */
    record Rival(long offset, String author, String file) {}

    /**
     * The content for a snapshot.
     *
     * @param changes the remembered changes
     * @param forgotten the newest forgotten change
     */
    record Exported(List<AcceptedChange> changes, Optional<Forgotten> forgotten) {}
}
