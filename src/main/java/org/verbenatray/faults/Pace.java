package org.verbenatray.faults;

import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The threads of a run: one for what is due later, more for what waits. */
final class Pace implements AutoCloseable {
    /** Runs what is due later. */
    private final ScheduledExecutorService timer;

    /** Runs what waits. */
    private final ExecutorService pool;

    /** Creates the threads. */
    private Pace() {
        timer = Executors.newSingleThreadScheduledExecutor(Pace::thread);
        pool = Executors.newCachedThreadPool(Pace::thread);
    }

    /** Returns new threads. */
    static Pace create() {
        return new Pace();
    }

    /** Runs an action after a time in milliseconds. */
    void after(long millis, Runnable action) {
        timer.schedule(action, millis, TimeUnit.MILLISECONDS);
    }

    /** Returns what runs actions that wait. */
    Executor pool() {
        return pool;
    }

    @Override
    public void close() {
        timer.shutdownNow();
        pool.shutdownNow();
    }

    /** Returns a thread that does not keep the process alive. */
    private static Thread thread(Runnable task) {
        Thread thread = new Thread(task, "faults");
        thread.setDaemon(true);
        return thread;
    }
}
