package org.verbenatray.instance;

import java.util.Optional;
import org.verbenatray.time.Deadline;

/**
 * Detects that the log service becomes unreachable or reachable again, so that each change is logged once. While the
 * first read of a starting instance has not timed out, the service counts as reachable. Not thread-safe.
 */
final class LogOutageDetector {
    /** The time that the first read after the start may take, in milliseconds. */
    private static final long FIRST_READ_TIMEOUT_MILLIS = 3_000;

    private final Deadline firstReadDeadline;

    /** Whether the last reported state was unreachable. */
    private boolean reportedUnreachable;

    private LogOutageDetector(Deadline firstReadDeadline) {
        this.firstReadDeadline = firstReadDeadline;
    }

    /** Creates a detector for an instance that starts at the given time; the service counts as reachable. */
    static LogOutageDetector startingAt(long nowNanos) {
        return new LogOutageDetector(Deadline.afterMillis(nowNanos, FIRST_READ_TIMEOUT_MILLIS));
    }

    /**
     * Records the current state and returns whether the service is unreachable, empty when there is nothing to report.
     *
     * @param unreachable whether the last successful read is too old
     * @param everRead whether any read has succeeded since the start
     * @param nowNanos the current time of the monotonic clock in nanoseconds
     */
    Optional<Boolean> update(boolean unreachable, boolean everRead, long nowNanos) {
        boolean starting = !everRead && !firstReadDeadline.hasPassed(nowNanos);
        if (starting || unreachable == reportedUnreachable) {
            return Optional.empty();
        }
        reportedUnreachable = unreachable;
        return Optional.of(unreachable);
    }
}
