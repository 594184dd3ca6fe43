package org.verbenatray.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.verbenatray.configuration.SourceNode.Mapping;

/** Merges the files of a configuration folder in the order of their names and validates the result. */
public final class ConfigurationMerger {
    private static final Comparator<ConfigurationProblem> BY_LOCATION = Comparator.comparing(ConfigurationProblem::file)
            .thenComparing(ConfigurationProblem::line)
            .thenComparing(ConfigurationProblem::key)
            .thenComparing(ConfigurationProblem::found);

    private ConfigurationMerger() {}

    /** Parses the given texts by file name and returns the merged configuration, or every problem in them. */
    public static MergeResult merge(SortedMap<String, String> textByFile) {
        SortedMap<String, SourceFile> parsed = new TreeMap<>();
        textByFile.forEach((name, text) -> parsed.put(name, SourceParser.parse(name, text)));
        return mergeParsed(parsed);
    }

    /** Returns the merged configuration of parsed files by name, or every problem in them. */
    static MergeResult mergeParsed(SortedMap<String, SourceFile> parsed) {
        List<ConfigurationProblem> problems = new ArrayList<>();
        parsed.values().forEach(file -> problems.addAll(file.problems()));
        FleetReader reader = FleetReader.create();
        FleetConfiguration fleet = reader.read(mergedRoot(parsed));
        problems.addAll(reader.problems());
        if (problems.isEmpty()) {
            return new MergeResult(Optional.of(fleet), List.of());
        }
        List<ConfigurationProblem> sorted = problems.stream()
                .distinct()
                .sorted(BY_LOCATION)
                .limit(ConfigurationLimits.MAX_PROBLEMS)
                .toList();
        return new MergeResult(Optional.empty(), sorted);
    }

    private static Mapping mergedRoot(SortedMap<String, SourceFile> parsed) {
        Mapping root = new Mapping(new SourceLocation("folder", 0), Map.of());
        for (SourceFile file : parsed.values()) {
            root = SourceMerge.merge(root, file.root());
        }
        return root;
    }
}
