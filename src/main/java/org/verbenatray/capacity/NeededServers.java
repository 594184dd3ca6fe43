package org.verbenatray.capacity;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalInt;
import org.verbenatray.time.Deadline;

/**
 * The number of servers that a service needs: as many of one kind as there were lately, once the list of servers has
 * settled after a start. Of both kinds together there are more, for the loss of a domain. Used on one thread.
 */
final class NeededServers {
    /** The time for which a number counts, in milliseconds; longer than reclaimed servers are missing. */
    private static final long RETENTION_MILLIS = 60_000;

    /** The time for which the number must not have grown, before it is known for the first time, in milliseconds. */
    private static final long SETTLING_MILLIS = 4_000;

    /** Numbers that no later one exceeds, oldest and largest first. */
    private final Deque<Entry> entries = new ArrayDeque<>();

    /** When the number is known unless it grows before. */
    private Deadline settledFrom = new Deadline(0);

    private boolean settled;

    private NeededServers() {}

    /** Creates an object that knows no number. */
    static NeededServers unknown() {
        return new NeededServers();
    }

    /** Records the numbers of servers of each kind at the given time. */
    void record(int permanent, int reclaimable, long nowNanos) {
        int value = Math.max(permanent, reclaimable);
        if (entries.isEmpty() || value > entries.peekFirst().value()) {
            settledFrom = Deadline.afterMillis(nowNanos, SETTLING_MILLIS);
        }
        while (!entries.isEmpty() && entries.peekLast().value() <= value) {
            entries.removeLast();
        }
        entries.addLast(new Entry(value, Deadline.afterMillis(nowNanos, RETENTION_MILLIS)));
        while (entries.peekFirst().expiry().hasPassed(nowNanos)) {
            entries.removeFirst();
        }
        settled |= value > 0 && settledFrom.hasPassed(nowNanos);
    }

    /** Records the number that an earlier holder of the duty has known. */
    void recordStated(int value, long nowNanos) {
        record(value, 0, nowNanos);
        settled = true;
    }

    /** Returns the number that is needed; empty while it is not known. */
    OptionalInt value() {
        return settled ? OptionalInt.of(atLeast()) : OptionalInt.empty();
    }

    /** Returns a number that is needed at least. */
    int atLeast() {
        return entries.isEmpty() ? 0 : entries.peekFirst().value();
    }

    /** A number that counts until its expiry. */
    private record Entry(int value, Deadline expiry) {}
}
