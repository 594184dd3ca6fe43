package org.verbenatray.configuration;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when a configuration folder cannot be read; carries every problem that was found. */
public final class ConfigurationFolderException extends RuntimeException {
    private final transient List<ConfigurationProblem> problems;

    private ConfigurationFolderException(List<ConfigurationProblem> problems) {
        super(problems.stream().map(ConfigurationProblem::message).collect(Collectors.joining("; ")));
        this.problems = problems;
    }

    /** Returns an exception for the given problems. */
    static ConfigurationFolderException of(List<ConfigurationProblem> problems) {
        return new ConfigurationFolderException(List.copyOf(problems));
    }

    /** Returns the problems that were found. */
    public List<ConfigurationProblem> problems() {
        return problems;
    }
}
