package org.verbenatray.cli;

import java.util.concurrent.CountDownLatch;

/** The life of a process that runs until it is told to stop. */
final class Processes {
    /** Prevents instances. */
    private Processes() {}

    /** Waits until the process is told to stop, then runs the action before the process ends. */
    static int untilStopped(Runnable action) throws InterruptedException {
        CountDownLatch never = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(action, "stop"));
        never.await();
        return ExitCode.DONE;
    }
}
