package org.verbenatray.faults;

import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The threads of a run: one timer thread, and a pool for actions that block. */
final class RunExecutors implements AutoCloseable {
    /** Runs delayed actions, which must not block. */
    private final ScheduledExecutorService timer;

    /** Runs actions that block. */
    private final ExecutorService blockingExecutor;

    private RunExecutors() {
        timer = Executors.newSingleThreadScheduledExecutor(RunExecutors::daemonThread);
        blockingExecutor = Executors.newCachedThreadPool(RunExecutors::daemonThread);
    }

    /** Returns new executors. */
    static RunExecutors create() {
        return new RunExecutors();
    }

    /** Runs an action on the timer thread after a delay in milliseconds. The action must not block. */
    void schedule(long millis, Runnable action) {
        timer.schedule(action, millis, TimeUnit.MILLISECONDS);
    }

    /** Returns the executor for actions that block. */
    Executor blockingExecutor() {
        return blockingExecutor;
    }

    @Override
    public void close() {
        timer.shutdownNow();
        blockingExecutor.shutdownNow();
    }

    /** Returns a daemon thread, which does not keep the process alive. */
    private static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task, "faults");
        thread.setDaemon(true);
        return thread;
    }
}
