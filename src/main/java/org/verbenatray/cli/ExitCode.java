package org.verbenatray.cli;

/** The exit codes of the binary. */
public final class ExitCode {
    /** The command succeeded. */
    public static final int SUCCESS = 0;

    /** The command was valid but failed, or a check that it made did. */
    public static final int FAILURE = 1;

    /** The command line or a setting was invalid. */
    public static final int USAGE_ERROR = 2;

    private ExitCode() {}
}
