package org.verbenatray.time;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runs tasks at given times; a task never runs on the thread that schedules it before {@code runAt} returns. */
@FunctionalInterface
public interface Scheduler {
    /** Runs a task at the given time or soon after; a time in the past means as soon as possible. */
    void runAt(Deadline when, Runnable task);

    /**
     * Returns a scheduler on an executor whose delays are computed from the ticker.
     *
     * <p>Tasks that come after the executor was shut down are dropped.
     */
    static Scheduler on(ScheduledExecutorService executor, Ticker ticker) {
        return (when, task) -> {
            long delayNanos = Math.max(0, when.atNanos() - ticker.nanos());
            try {
                executor.schedule(task, delayNanos, TimeUnit.NANOSECONDS);
            } catch (RejectedExecutionException e) {
                if (!executor.isShutdown()) {
                    throw e;
                }
            }
        };
    }
}
