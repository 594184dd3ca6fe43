package org.verbenatray.cli;

import java.io.PrintStream;

/**
 * Where a command writes.
 *
 * @param out results
 * @param err problems and progress
 */
public record CommandOutput(PrintStream out, PrintStream err) {
    /** Returns the output of this process. */
    public static CommandOutput ofProcess() {
        return new CommandOutput(System.out, System.err);
    }
}
