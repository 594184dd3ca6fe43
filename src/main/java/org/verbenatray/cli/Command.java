package org.verbenatray.cli;

/** A command of the binary; its annotated fields are filled by JCommander. */
public interface Command {
    /**
     * Validates the settings, runs the command and returns its {@link ExitCode}. Fails with a SettingsException if
     * settings are invalid; any other exception means that the command failed.
     */
    int run(CommandOutput output) throws Exception;
}
