package org.verbenatray.processes;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits on conditions of other threads and processes. */
public final class Await {
    /** The longest wait in seconds, only reached when the condition never comes true. */
    private static final long LONGEST_SECONDS = 60;

    private Await() {}

    /** Returns when the condition holds; fails when it never does. */
    public static void until(BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LONGEST_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("the condition did not come true");
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }
}
