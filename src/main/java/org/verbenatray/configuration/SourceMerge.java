package org.verbenatray.configuration;

import java.util.LinkedHashMap;
import java.util.Map;
import org.verbenatray.configuration.SourceNode.Mapping;
import org.verbenatray.configuration.SourceNode.Removal;

/** Merges parsed files: mappings are merged key by key, lists and scalars are replaced, a null removes an entry. */
final class SourceMerge {
    private SourceMerge() {}

    /** Returns the merge of two mappings. The values of the later one win; the location is that of the earlier one. */
    static Mapping merge(Mapping earlier, Mapping later) {
        Map<String, SourceNode> entries = new LinkedHashMap<>(earlier.entries());
        later.entries().forEach((name, value) -> mergeEntry(entries, name, value));
        return new Mapping(earlier.location(), entries);
    }

    private static void mergeEntry(Map<String, SourceNode> entries, String name, SourceNode later) {
        if (later instanceof Removal) {
            entries.remove(name);
            return;
        }
        if (!(later instanceof Mapping laterMapping)) {
            entries.put(name, later);
            return;
        }
        Mapping earlier =
                entries.get(name) instanceof Mapping mapping ? mapping : new Mapping(laterMapping.location(), Map.of());
        entries.put(name, merge(earlier, laterMapping));
    }
}
