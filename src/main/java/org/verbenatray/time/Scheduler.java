package org.verbenatray.time;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runs tasks at given times. A task never runs on the scheduling thread before {@code runAt} returns. */
@FunctionalInterface
public interface Scheduler {
    /** Runs a task at the given time or shortly after, as soon as possible if that time is in the past. */
    void runAt(Deadline when, Runnable task);

    /**
     * Returns a scheduler that runs tasks on the executor, with delays computed from the ticker.
     *
     * <p>Tasks scheduled after the shutdown of the executor are dropped.
     */
    static Scheduler onExecutor(ScheduledExecutorService executor, Ticker ticker) {
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
