package org.verbenatray.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when settings of a command are invalid; carries all problems, one a line in the message. */
public final class SettingsException extends RuntimeException {
    private final transient List<SettingProblem> problems;

    public SettingsException(List<SettingProblem> problems) {
        super(problems.stream().map(SettingProblem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** Returns all invalid settings. */
    public List<SettingProblem> problems() {
        return problems;
    }
}
