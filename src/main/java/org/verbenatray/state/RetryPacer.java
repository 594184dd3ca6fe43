package org.verbenatray.state;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.DoubleSupplier;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;

/**
 * Paces the calls that are repeated while a store does not answer: one call of all its users at a time finds out
 * whether it does, at growing intervals, and its first answer lets the others go on at once. So an outage costs fewer
 * calls than normal service, however many topics are followed. Used on the thread of its scheduler.
 */
public final class RetryPacer {
    /** The time from the first failure to the next call, in milliseconds. */
    private static final long FIRST_DELAY_MILLIS = 250;

    /** The longest time between two calls, in milliseconds; after the return of the store no more than that is lost. */
    private static final long MAX_DELAY_MILLIS = 1_000;

    /** The time without a failure after which the delay begins anew, in milliseconds. */
    private static final long CALM_MILLIS = 3_000;

    /** The part of a delay that is random, so that instances do not call at once. */
    private static final double RANDOM_SHARE = 0.3;

    /** Supplies random numbers from 0 to 1. */
    private final DoubleSupplier random;

    private final Ticker ticker;
    private final Scheduler scheduler;

    /** The calls to repeat, oldest first. */
    private final Deque<Runnable> waiting = new ArrayDeque<>();

    private long delayMillis = FIRST_DELAY_MILLIS;

    /** When the delay begins anew unless a call fails before. */
    private Deadline calmFrom = new Deadline(0);

    private boolean scheduled;

    private RetryPacer(DoubleSupplier random, Ticker ticker, Scheduler scheduler) {
        this.random = random;
        this.ticker = ticker;
        this.scheduler = scheduler;
    }

    /** Creates a pacer without waiting calls; the random numbers are from 0 to 1. */
    public static RetryPacer create(DoubleSupplier random, Ticker ticker, Scheduler scheduler) {
        return new RetryPacer(random, ticker, scheduler);
    }

    /** Runs a call again after a failure: at its turn, or when another call has succeeded. */
    public void retryLater(Runnable call) {
        long now = ticker.nanos();
        if (waiting.isEmpty() && calmFrom.hasPassed(now)) {
            delayMillis = FIRST_DELAY_MILLIS;
        }
        calmFrom = Deadline.afterMillis(now, CALM_MILLIS);
        waiting.add(call);
        scheduleNext();
    }

    /** Runs all waiting calls, as a call has succeeded. */
    public void recordSuccess() {
        List<Runnable> ready = List.copyOf(waiting);
        waiting.clear();
        ready.forEach(Runnable::run);
    }

    private void scheduleNext() {
        if (scheduled || waiting.isEmpty()) {
            return;
        }
        scheduled = true;
        long millis = (long) (delayMillis * (1 - RANDOM_SHARE * random.getAsDouble()));
        delayMillis = Math.min(MAX_DELAY_MILLIS, 2 * delayMillis);
        scheduler.runAt(Deadline.afterMillis(ticker.nanos(), millis), this::runNext);
    }

    private void runNext() {
        scheduled = false;
        Runnable next = waiting.poll();
        scheduleNext();
        if (next != null) {
            next.run();
        }
    }
}
