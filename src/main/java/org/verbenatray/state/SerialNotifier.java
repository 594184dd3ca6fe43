package org.verbenatray.state;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Runs notifications one at a time in the order in which they were added, on the threads that drain. */
final class SerialNotifier {
    /** The notifications to run. */
    private final Queue<Runnable> queue = new ConcurrentLinkedQueue<>();

    /** The drains asked for while one is under way. */
    private final AtomicInteger drains = new AtomicInteger();

    /** The notifications that failed. */
    private final AtomicLong failures = new AtomicLong();

    /** Adds a notification. */
    void add(Runnable notification) {
        queue.add(notification);
    }

    /** Runs what was added, or leaves it to the thread that is draining. */
    void drain() {
        if (drains.getAndIncrement() != 0) {
            return;
        }
        int seen = 1;
        do {
            runAll();
            seen = drains.addAndGet(-seen);
        } while (seen != 0);
    }

    /** Runs all notifications in the queue. */
    private void runAll() {
        Runnable notification = queue.poll();
        while (notification != null) {
            run(notification);
            notification = queue.poll();
        }
    }

    /** Runs one notification; its failure does not keep the others back. */
    private void run(Runnable notification) {
        try {
            notification.run();
        } catch (RuntimeException e) {
            failures.incrementAndGet();
        }
    }

    /** Returns the number of notifications that failed. */
    long failures() {
        return failures.get();
    }
}
