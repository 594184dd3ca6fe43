package org.verbenatray.cli;

/** One command of the binary; its fields carry JCommander's annotations. */
public interface Command {
    /** Checks the settings and runs the command; returns one of {@link ExitCode}'s codes. */
    int run(CommandOutput output) throws Exception;
}
