package org.verbenatray.time;

import java.time.Clock;

/**
 * The time sources and the scheduler of one process, injected so that tests can control time.
 *
 * @param ticker the monotonic time
 * @param clock the wall clock, for timestamps in records
 * @param scheduler the scheduler of delayed tasks
 */
public record Timing(Ticker ticker, Clock clock, Scheduler scheduler) {
    /** Returns the deadline the given number of milliseconds from now. */
    public Deadline deadlineAfterMillis(long millis) {
        return Deadline.afterMillis(ticker.nanos(), millis);
    }

    /** Returns whether the deadline has been reached. */
    public boolean hasPassed(Deadline deadline) {
        return deadline.hasPassed(ticker.nanos());
    }
}
