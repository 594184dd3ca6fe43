package org.verbenatray.authority;

import org.verbenatray.time.Deadline;
import org.verbenatray.time.ManualTime;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;

/** The clocks of a process in simulated time that is cut off and suspended; its monotonic clock then stands still. */
final class SimulatedProcess implements Ticker, Scheduler {
    private final ManualTime time;
    private Deadline cutUntil;
    private Deadline suspendedUntil;
    private long suspendedNanos;
    private boolean killed;

    SimulatedProcess(ManualTime time) {
        this.time = time;
        this.cutUntil = new Deadline(time.nanos());
        this.suspendedUntil = new Deadline(time.nanos());
    }

    /** Cuts the process off from everything for some time. */
    void cut(long millis) {
        cutUntil = Deadline.afterMillis(time.nanos(), millis);
    }

    /** Suspends the process for some time, unless it is suspended. */
    void suspend(long millis) {
        if (!isSuspended()) {
            suspendedUntil = Deadline.afterMillis(time.nanos(), millis);
            suspendedNanos += millis * 1_000_000;
        }
    }

    /** Ends the process: none of its tasks runs any more. */
    void kill() {
        killed = true;
    }

    boolean isSuspended() {
        return !suspendedUntil.hasPassed(time.nanos());
    }

    /** Returns whether calls of the process reach others, and answers reach it. */
    boolean isConnected() {
        return !killed && cutUntil.hasPassed(time.nanos()) && !isSuspended();
    }

    @Override
    public long nanos() {
        return time.nanos() - suspendedNanos;
    }

    @Override
    public void runAt(Deadline when, Runnable task) {
        long waitNanos = Math.max(1_000_000, when.atNanos() - nanos());
        time.runAt(new Deadline(time.nanos() + waitNanos), () -> {
            if (killed) {
                return;
            }
            if (when.hasPassed(nanos()) && !isSuspended()) {
                task.run();
            } else {
                runAt(when, task);
            }
        });
    }
}
