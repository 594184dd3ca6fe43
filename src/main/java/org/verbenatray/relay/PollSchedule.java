package org.verbenatray.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
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
    /** The most engines that are polled together with another one. */
    private static final int MAX_TOGETHER = 8;

    /** The number of other instances in a group from which on it is large. */
    private static final int MIN_LARGE_GROUP = 8;

    /** The age at which any instance polls, in milliseconds. */
    private static final long LAST_TURN_MILLIS = 2_500;

    /** The age at which engines are polled while it is doubtful whether any can be reached, in milliseconds. */
    private static final long DOUBTFUL_TURN_MILLIS = 500;

    /** The time after a poll of its own in which an instance does not look again because of others, in milliseconds. */
    private static final long MIN_DOUBT_INTERVAL_MILLIS = 1_000;

    /** The shortest time between two polls, in milliseconds. */
    private static final long MIN_INTERVAL_MILLIS = 20;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The turns where few instances share the polls. */
    private static final Turns SMALL_GROUP = new Turns(1_000, 1_500, 100, 0, 0);

    /**
     * The turns where many instances share the polls. Each report is told to all of them, so each instance polls its
     * engines together and tells their reports in one notice.
     */
    private static final Turns LARGE_GROUP = new Turns(1_600, 2_000, 50, 600, 50);

    /** Returns the place of this instance in the order of an engine, by its boot id; zero is the first. */
    private final ToIntFunction<String> place;

    /** Returns the number of other instances that share the polls. */
    private final IntSupplier groupSize;

    /** When the newest report of each engine was made, or its last poll by this instance, by boot id. */
    private final Map<String, Long> knownNanos = new HashMap<>();

    /** When each engine was first due of which no report was known, by boot id. */
    private final Map<String, Long> listedNanos = new HashMap<>();

    /** When this instance last polled each engine, by boot id. */
    private final Map<String, Long> polledNanos = new HashMap<>();

    /** The engines that another instance could not reach lately and that this one has not polled since. */
    private final Set<String> doubted = new HashSet<>();

    PollSchedule(ToIntFunction<String> place, IntSupplier groupSize) {
        this.place = place;
        this.groupSize = groupSize;
    }

    /** Records that this instance polls an engine at the given time. */
    void recordPolled(String boot, long atNanos) {
        polledNanos.put(boot, atNanos);
        recordKnown(boot, atNanos);
    }

    /** Records that a report of an engine is known that was made at the given time. */
    void recordKnown(String boot, long atNanos) {
        knownNanos.merge(boot, atNanos, (known, newer) -> newer - known > 0 ? newer : known);
        doubted.remove(boot);
    }

    /**
     * Records that another instance could not reach an engine, so that this one looks for itself, unless it just has:
     * else instances that all fail would keep one another polling.
     */
    void recordDoubt(String boot, long nowNanos) {
        Long polled = polledNanos.get(boot);
        if (polled == null || nowNanos - polled >= MIN_DOUBT_INTERVAL_MILLIS * NANOS_PER_MILLI) {
            doubted.add(boot);
        }
    }

    /**
     * Returns the engines to poll now: the one that is due longest, if one is due, and the known ones that soon would
     * be this instance's turn.
     */
    List<DuePoll> due(List<Backend> engines, boolean doubtful, long nowNanos) {
        Optional<Backend> longest = dueLongest(engines, doubtful, nowNanos);
        if (longest.isEmpty()) {
            return List.of();
        }
        List<DuePoll> due = new ArrayList<>();
        due.add(new DuePoll(longest.get(), cause(longest.get(), doubtful)));
        long soonNanos = nowNanos + turns().togetherMillis() * NANOS_PER_MILLI;
        engines.stream()
                .filter(engine -> engine != longest.get() && isFirstOfKnown(engine))
                .filter(engine -> dueNanos(engine, doubtful, nowNanos) - soonNanos < 0)
                .limit(MAX_TOGETHER)
                .forEach(engine -> due.add(new DuePoll(engine, PollCause.TURN)));
        return due;
    }

    private Optional<Backend> dueLongest(List<Backend> engines, boolean doubtful, long nowNanos) {
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

    private PollCause cause(Backend engine, boolean doubtful) {
        String boot = engine.entry().bootId();
        if (doubted.contains(boot)) {
            return PollCause.TOLD;
        }
        if (!knownNanos.containsKey(boot)) {
            return PollCause.LISTED;
        }
        if (doubtful) {
            return PollCause.DOUBT;
        }
        if (engine.unreachable()) {
            return PollCause.UNREACHABLE;
        }
        return place.applyAsInt(boot) == 0 ? PollCause.TURN : PollCause.LATE_TURN;
    }

    /** Returns whether an engine has been polled before, and this instance is the first to poll it again. */
    private boolean isFirstOfKnown(Backend engine) {
        String boot = engine.entry().bootId();
        return turns().togetherMillis() > 0 && knownNanos.containsKey(boot) && place.applyAsInt(boot) == 0;
    }

    private Turns turns() {
        return groupSize.getAsInt() < MIN_LARGE_GROUP ? SMALL_GROUP : LARGE_GROUP;
    }

    /** Returns the time in milliseconds until the next engine is due. */
    long waitMillis(List<Backend> engines, boolean doubtful, long nowNanos) {
        long waitNanos = turns().firstMillis() * NANOS_PER_MILLI;
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
            polledNanos.keySet().retainAll(boots);
            listedNanos.keySet().retainAll(boots);
            doubted.retainAll(boots);
        }
    }

    private long dueNanos(Backend engine, boolean doubtful, long nowNanos) {
        String boot = engine.entry().bootId();
        Long known = knownNanos.get(boot);
        if (doubted.contains(boot)) {
            return nowNanos;
        }
        if (known == null) {
            long listed = listedNanos.computeIfAbsent(boot, key -> nowNanos);
            return listed + place.applyAsInt(boot) * turns().firstStepMillis() * NANOS_PER_MILLI;
        }
        return known + turnMillis(engine, doubtful) * NANOS_PER_MILLI;
    }

    private long turnMillis(Backend engine, boolean doubtful) {
        if (doubtful) {
            return DOUBTFUL_TURN_MILLIS;
        }
        int position =
                engine.unreachable() ? 0 : place.applyAsInt(engine.entry().bootId());
        Turns turns = turns();
        return position == 0
                ? turns.firstMillis()
                : Math.min(LAST_TURN_MILLIS, turns.secondMillis() + (position - 1) * turns.stepMillis());
    }

    /**
     * An engine to poll now.
     *
     * @param engine the engine
     * @param cause why this instance polls it
     */
    record DuePoll(Backend engine, PollCause cause) {}

    /**
     * The ages of the newest report at which instances poll, in milliseconds.
     *
     * @param firstMillis the age at which the first instance polls
     * @param secondMillis the age at which the second instance polls
     * @param stepMillis the age by which each further instance waits longer
     * @param togetherMillis the time before its turn at which an engine is polled together with another one
     * @param firstStepMillis the time by which each further instance waits longer with an engine of which no report is
     *     known: if all polled it at once, it could accept no requests for a while
     */
    private record Turns(
            long firstMillis, long secondMillis, long stepMillis, long togetherMillis, long firstStepMillis) {}
}
