package org.verbenatray.cli;

/**
 * The exit code of a process that is stopped while it watches a folder: the code of the last result, instead of the
 * code of the signal.
 */
final class ShutdownExitCode {
    private volatile int exitCode = ExitCode.SUCCESS;

    private ShutdownExitCode() {}

    /** Installs a shutdown hook that ends the process with the code set last, initially {@link ExitCode#SUCCESS}. */
    static ShutdownExitCode install() {
        ShutdownExitCode shutdown = new ShutdownExitCode();
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> Runtime.getRuntime().halt(shutdown.exitCode), "exit"));
        return shutdown;
    }

    /** Sets the exit code; may be called on any thread. */
    void set(int newCode) {
        exitCode = newCode;
    }
}
