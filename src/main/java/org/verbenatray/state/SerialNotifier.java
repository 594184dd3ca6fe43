package org.verbenatray.state;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Runs notifications one at a time, in the order in which they were added, on the threads that call {@link #drain()}.
 * Thread-safe and lock-free, so a notification may add further ones or drain again.
 */
final class SerialNotifier {
    private final Queue<Runnable> queue = new ConcurrentLinkedQueue<>();

    /** The number of {@link #drain()} calls that the draining thread has not handled yet; zero if no thread drains. */
    private final AtomicInteger pendingDrains = new AtomicInteger();

    private final AtomicLong failures = new AtomicLong();

    /** Queues a notification without running it. */
    void add(Runnable notification) {
        queue.add(notification);
    }

    /** Runs the queued notifications; returns at once if another thread, or this one, is draining already. */
    void drain() {
        if (pendingDrains.getAndIncrement() != 0) {
            return;
        }
        int handled = 1;
        do {
            runAll();
            handled = pendingDrains.addAndGet(-handled);
        } while (handled != 0);
    }

    private void runAll() {
        Runnable notification = queue.poll();
        while (notification != null) {
            run(notification);
            notification = queue.poll();
        }
    }

    /** Runs one notification; an exception is counted and does not affect the others. */
    private void run(Runnable notification) {
        try {
            notification.run();
        } catch (RuntimeException e) {
            failures.incrementAndGet();
        }
    }

    /** Returns the number of notifications that threw an exception. */
    long failures() {
        return failures.get();
    }
}
