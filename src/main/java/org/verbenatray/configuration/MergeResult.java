package org.verbenatray.configuration;

import java.util.List;
import java.util.Optional;

/**
 * The outcome of merging a configuration folder.
 *
 * @param fleet the merged configuration, empty when anything is wrong
 * @param problems everything that is wrong, in the order of files and lines; bounded in number
 */
public record MergeResult(Optional<FleetConfiguration> fleet, List<ConfigurationProblem> problems) {
    /** Returns whether the folder is valid. */
    public boolean isValid() {
        return problems.isEmpty();
    }
}
