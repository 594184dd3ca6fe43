package org.verbenatray.cli;

/** Makes a process that is told to stop end with the code of its last result. */
final class WatchedExit {
    /** The code so far. */
    private volatile int code = ExitCode.DONE;

    /** Creates an exit. */
    private WatchedExit() {}

    /** Returns an exit that takes effect when the process is told to stop. */
    static WatchedExit install() {
        WatchedExit exit = new WatchedExit();
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> Runtime.getRuntime().halt(exit.code), "exit"));
        return exit;
    }

    /** Sets the code of the last result. */
    void code(int newCode) {
        code = newCode;
    }
}
