package org.verbenatray.instance;

import java.util.Optional;
import org.verbenatray.time.Deadline;

/** Tells changes between a log service in reach and one out of reach; not before the first read had its time. */
final class LogReach {
    /** The time that the first read may take in milliseconds. */
    private static final long FIRST_READ_MILLIS = 3_000;

    /** When the first read counts as late. */
    private final Deadline firstRead;

    /** Whether the service was told to be out of reach. */
    private boolean told;

    /** Creates a state in which the service counts as in reach. */
    private LogReach(Deadline firstRead) {
        this.firstRead = firstRead;
    }

    /** Returns a state in which the service counts as in reach, of an instance that was started at the given time. */
    static LogReach startingAt(long nowNanos) {
        return new LogReach(Deadline.afterMillis(nowNanos, FIRST_READ_MILLIS));
    }

    /**
     * Takes the present state and returns whether the service is out of reach where that has to be told.
     *
     * @param outOfReach whether the last read is too old
     * @param everRead whether any read succeeded
     */
    Optional<Boolean> changed(boolean outOfReach, boolean everRead, long nowNanos) {
        boolean starting = !everRead && !firstRead.passed(nowNanos);
        if (starting || outOfReach == told) {
            return Optional.empty();
        }
        told = outOfReach;
        return Optional.of(outOfReach);
    }
}
