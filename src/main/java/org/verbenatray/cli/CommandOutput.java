package org.verbenatray.cli;

import java.io.PrintStream;

/**
 * The output streams of a command.
 *
 * @param out the stream for results
 * @param err the stream for errors and progress
 */
public record CommandOutput(PrintStream out, PrintStream err) {
    /** Returns the standard output and standard error of this process. */
    public static CommandOutput ofProcess() {
        return new CommandOutput(System.out, System.err);
    }
}
