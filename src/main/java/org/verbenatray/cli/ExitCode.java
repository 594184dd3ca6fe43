package org.verbenatray.cli;

/** The exit codes of the binary. */
public final class ExitCode {
    /** The command did what it was asked for. */
    public static final int DONE = 0;

    /** The command failed. */
    public static final int FAILED = 1;

    /** The command was used wrongly. */
    public static final int WRONG_USE = 2;

    /** Prevents instances. */
    private ExitCode() {}
}
