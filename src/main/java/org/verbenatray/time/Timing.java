package org.verbenatray.time;

import java.time.Clock;

/**
 * The sources of time of one process.
 *
 * @param ticker the monotonic time
 * @param clock the wall clock, for the times that people read in records
 * @param scheduler runs delayed tasks
 */
public record Timing(Ticker ticker, Clock clock, Scheduler scheduler) {
    /** Returns the deadline that lies the given milliseconds from now. */
    public Deadline inMillis(long millis) {
        return Deadline.afterMillis(ticker.nanos(), millis);
    }

    /** Returns whether the deadline has passed. */
    public boolean passed(Deadline deadline) {
        return deadline.passed(ticker.nanos());
    }
}
