package org.verbenatray.bench;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/** Actions at simulated times, run in the order of their times and then of their entry. */
final class Timers {
    /** The waiting actions. */
    private final PriorityQueue<Timer> queue =
            new PriorityQueue<>(Comparator.comparingLong(Timer::atNanos).thenComparingLong(Timer::sequence));

    /** The number of entered actions. */
    private long entered;

    /** Creates an empty queue. */
    Timers() {}

    /** Enters an action that is given the time at which it runs. */
    void at(long atNanos, LongConsumer action) {
        queue.add(new Timer(atNanos, entered++, action));
    }

    /** Enters an action that repeats. */
    void every(long firstNanos, long periodNanos, LongConsumer action) {
        at(firstNanos, now -> {
            action.accept(now);
            every(now + periodNanos, periodNanos, action);
        });
    }

    /** Returns when the next action is due, {@link Long#MAX_VALUE} for never. */
    long nextNanos() {
        return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().atNanos();
    }

    /** Runs the next action. */
    void runNext() {
        Timer timer = queue.remove();
        timer.action().accept(timer.atNanos());
    }

    /**
     * A waiting action.
     *
     * @param atNanos when it is due
     * @param sequence the number of its entry
     * @param action the action
     */
    private record Timer(long atNanos, long sequence, LongConsumer action) {}
}
