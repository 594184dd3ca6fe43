package org.verbenatray.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.verbenatray.backends.Backend;

/**
 * Decides which engine this instance polls next. Instances send one another the reports of engines, so an engine is
 * polled by the instance that is first in its order, and by a later one only if no report has arrived for longer than
 * its turn: the first has ended, or cannot reach the engine or the others. The polls of all instances together so grow
 * with the engines, and not with engines times instances. An engine that this instance itself could not reach is its
 * own to poll. Used on one thread.
 */
final class PollSchedule {
    /** The age of the newest report at which the first instance polls, in milliseconds. */
    static final long FIRST_TURN_MILLIS = 1_000;

    /** The age at which the second instance polls, in milliseconds. */
    static final long SECOND_TURN_MILLIS = 1_500;

    /** The age by which each further instance waits longer, in milliseconds. */
    static final long TURN_STEP_MILLIS = 100;

    /** The age at which any instance polls, in milliseconds. */
    static final long LAST_TURN_MILLIS = 2_500;

    /** The age at which engines are polled while it is doubtful whether any can be reached, in milliseconds. */
    static final long DOUBTFUL_TURN_MILLIS = 500;

    /** The shortest time between two polls, in milliseconds. */
    private static final long MIN_INTERVAL_MILLIS = 20;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Returns the place of this instance in the order of an engine, by its boot id; zero is the first. */
    private final ToIntFunction<String> place;

    /** When the newest report of each engine was made, or its last poll by this instance, by boot id. */
    private final Map<String, Long> knownNanos = new HashMap<>();

    /** The engines that another instance could not reach lately and that this one has not polled since. */
    private final Set<String> doubted = new HashSet<>();

    PollSchedule(ToIntFunction<String> place) {
        this.place = place;
    }

    /** Records that an engine was polled, or that a report of it is known, at the given time. */
    void recordKnown(String boot, long atNanos) {
        knownNanos.merge(boot, atNanos, (known, newer) -> newer - known > 0 ? newer : known);
        doubted.remove(boot);
    }

    /** Records that another instance could not reach an engine, so that this one looks for itself. */
    void recordDoubt(String boot) {
        doubted.add(boot);
    }

    /** Returns the engine that is due longest; empty if none is due. */
    Optional<Backend> next(List<Backend> engines, boolean doubtful, long nowNanos) {
        Backend most = null;
        long mostNanos = -1;
        for (Backend engine : engines) {
            long overdueNanos = nowNanos - dueNanos(engine, doubtful, nowNanos);
            if (overdueNanos >= 0 && overdueNanos > mostNanos) {
                most = engine;
                mostNanos = overdueNanos;
            }
        }
        return Optional.ofNullable(most);
    }

    /** Returns the time in milliseconds until the next engine is due. */
    long waitMillis(List<Backend> engines, boolean doubtful, long nowNanos) {
        long waitNanos = FIRST_TURN_MILLIS * NANOS_PER_MILLI;
        for (Backend engine : engines) {
            waitNanos = Math.min(waitNanos, dueNanos(engine, doubtful, nowNanos) - nowNanos);
        }
        return Math.max(MIN_INTERVAL_MILLIS, waitNanos / NANOS_PER_MILLI + 1);
    }

    /** Forgets the engines that are no longer listed. */
    void retain(List<Backend> engines) {
        if (knownNanos.size() > 2 * engines.size() + 1) {
            List<String> boots =
                    engines.stream().map(engine -> engine.entry().bootId()).toList();
            knownNanos.keySet().retainAll(boots);
            doubted.retainAll(boots);
        }
    }

    private long dueNanos(Backend engine, boolean doubtful, long nowNanos) {
        String boot = engine.entry().bootId();
        Long known = knownNanos.get(boot);
        if (known == null || doubted.contains(boot)) {
            return nowNanos;
        }
        return known + turnMillis(engine, doubtful) * NANOS_PER_MILLI;
    }

    private long turnMillis(Backend engine, boolean doubtful) {
        if (doubtful) {
            return DOUBTFUL_TURN_MILLIS;
        }
        int position =
                engine.unreachable() ? 0 : place.applyAsInt(engine.entry().bootId());
        return position == 0
                ? FIRST_TURN_MILLIS
                : Math.min(LAST_TURN_MILLIS, SECOND_TURN_MILLIS + (position - 1) * TURN_STEP_MILLIS);
    }
}
