package org.verbenatray.configuration;

import java.util.List;
import java.util.Optional;

/**
 * The result of merging the files of a configuration folder.
 *
 * @param fleet the merged configuration, empty if there are problems
 * @param problems the problems in the order of files and lines; at most 100
 */
public record MergeResult(Optional<FleetConfiguration> fleet, List<ConfigurationProblem> problems) {
    /** Returns whether the folder is valid. */
    public boolean isValid() {
        return problems.isEmpty();
    }
}
