package org.verbenatray.configuration;

import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.verbenatray.configuration.SourceNode.Mapping;

/** Finds the configuration entries that differ between two versions of a file. */
final class ChangedEntries {
    /** Separates the section from the entry name; names cannot contain it. */
    private static final String SEPARATOR = "/";

    private ChangedEntries() {}

    /**
     * Returns the changed entries as {@code section/name}, or {@code section} alone where the
     * section is not a mapping.
     *
     * <p>Concurrent changes conflict per entry: two changes of different keys of the same engine conflict, changes of
     * different engines do not.
     */
    static SortedSet<String> between(Mapping before, Mapping after) {
        SortedSet<String> changed = new TreeSet<>();
        addSections(before, after, changed);
        addSections(after, before, changed);
        return changed;
    }

    /** Returns whether the sets share an entry, or one has an entry whose whole section is in the other. */
    static boolean overlap(Set<String> some, Set<String> others) {
        return some.stream().anyMatch(key -> overlaps(key, others))
                || others.stream().anyMatch(key -> overlaps(key, some));
    }

    private static boolean overlaps(String key, Set<String> keys) {
        int separator = key.indexOf(SEPARATOR);
        return keys.contains(key) || separator > 0 && keys.contains(key.substring(0, separator));
    }

    /** Adds the sections or entries of the first mapping that are absent or different in the second. */
    private static void addSections(Mapping first, Mapping second, Set<String> changed) {
        first.entries().forEach((section, node) -> {
            SourceNode other = second.entries().get(section);
            boolean otherIsMapping = other == null || other instanceof Mapping;
            if (node instanceof Mapping entries && otherIsMapping) {
                addEntries(section, entries, (Mapping) other, changed);
            } else if (other == null || !node.hasSameContent(other)) {
                changed.add(section);
            }
        });
    }

    /** Adds the entries of one section that are absent or different in the other mapping, which may be null. */
    private static void addEntries(String section, Mapping entries, Mapping others, Set<String> changed) {
        entries.entries().forEach((name, node) -> {
            SourceNode other = others == null ? null : others.entries().get(name);
            if (other == null || !node.hasSameContent(other)) {
                changed.add(section + SEPARATOR + name);
            }
        });
    }
}
