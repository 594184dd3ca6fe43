package org.verbenatray.cli;

import java.util.concurrent.CountDownLatch;

/** Waits for the shutdown of a process that runs until it is stopped. */
final class ProcessShutdown {
    private ProcessShutdown() {}

    /** Blocks until the process is stopped; a shutdown hook then runs the action before the process ends. */
    static int awaitThenRun(Runnable action) throws InterruptedException {
        CountDownLatch neverReleased = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(action, "stop"));
        neverReleased.await();
        return ExitCode.SUCCESS;
    }
}
