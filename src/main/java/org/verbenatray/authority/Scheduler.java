package org.verbenatray.authority;

/** Runs a task once after a delay. */
@FunctionalInterface
public interface Scheduler {
    /** Runs the task after the given milliseconds; never on the calling thread before this method returns. */
    void after(long delayMillis, Runnable task);
}
