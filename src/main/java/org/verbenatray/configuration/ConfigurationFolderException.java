package org.verbenatray.configuration;

import java.util.List;
import java.util.stream.Collectors;

/** A configuration folder could not be read; every reason is among the problems. */
public final class ConfigurationFolderException extends RuntimeException {
    /** What is wrong. */
    private final transient List<ConfigurationProblem> problems;

    /** Creates the failure. */
    private ConfigurationFolderException(List<ConfigurationProblem> problems) {
        super(problems.stream().map(ConfigurationProblem::message).collect(Collectors.joining("; ")));
        this.problems = problems;
    }

    /** Returns the failure with the given problems. */
    static ConfigurationFolderException of(List<ConfigurationProblem> problems) {
        return new ConfigurationFolderException(List.copyOf(problems));
    }

    /** Returns what is wrong. */
    public List<ConfigurationProblem> problems() {
        return problems;
    }
}
