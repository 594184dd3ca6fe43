package org.verbenatray.configuration;

import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.verbenatray.configuration.SourceNode.Mapping;

/** Finds the entries of a configuration that differ between two contents of a file. */
final class ChangedEntries {
    /** Separates a section from the name of an entry; no name contains it. */
    private static final String SEPARATOR = "/";

    /** Prevents instances. */
    private ChangedEntries() {}

    /**
     * Returns the changed entries as {@code section/name}, or {@code section} alone where a section is no mapping.
     *
     * <p>The entry is the unit in which racing changes conflict: two changes of different keys of one engine conflict,
     * changes of two engines do not.
     */
    static SortedSet<String> between(Mapping before, Mapping after) {
        SortedSet<String> changed = new TreeSet<>();
        addSections(before, after, changed);
        addSections(after, before, changed);
        return changed;
    }

    /** Returns whether two entries, or an entry and its whole section, overlap. */
    static boolean overlap(Set<String> some, Set<String> others) {
        return some.stream().anyMatch(key -> overlaps(key, others))
                || others.stream().anyMatch(key -> overlaps(key, some));
    }

    /** Returns whether a key or the section it belongs to is in the set. */
    private static boolean overlaps(String key, Set<String> keys) {
        int separator = key.indexOf(SEPARATOR);
        return keys.contains(key) || separator > 0 && keys.contains(key.substring(0, separator));
    }

    /** Adds what the first mapping has and the second has not, or has otherwise. */
    private static void addSections(Mapping first, Mapping second, Set<String> changed) {
        first.entries().forEach((section, node) -> {
            SourceNode other = second.entries().get(section);
            boolean otherIsMapping = other == null || other instanceof Mapping;
            if (node instanceof Mapping entries && otherIsMapping) {
                addEntries(section, entries, (Mapping) other, changed);
            } else if (other == null || !node.sameAs(other)) {
                changed.add(section);
            }
        });
    }

    /** Adds the entries of one section that the other mapping has not, or has otherwise. */
    private static void addEntries(String section, Mapping entries, Mapping others, Set<String> changed) {
        entries.entries().forEach((name, node) -> {
            SourceNode other = others == null ? null : others.entries().get(name);
            if (other == null || !node.sameAs(other)) {
                changed.add(section + SEPARATOR + name);
            }
        });
    }
}
