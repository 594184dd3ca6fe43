package org.verbenatray.settings;

import java.util.List;
import java.util.stream.Collectors;

/** All settings of a command that cannot be used. */
public final class SettingsException extends RuntimeException {
    /** The problems. */
    private final transient List<SettingProblem> problems;

    /** Creates the exception. */
    public SettingsException(List<SettingProblem> problems) {
        super(problems.stream().map(SettingProblem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** Returns the problems. */
    public List<SettingProblem> problems() {
        return problems;
    }
}
