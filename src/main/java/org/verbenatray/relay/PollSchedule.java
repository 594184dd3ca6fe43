package org.verbenatray.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.ToIntFunction;
import org.verbenatray.backends.Backend;
import org.verbenatray.time.TokenBucket;

/**
 * Decides which engine this instance polls next. Instances tell one another what their polls have brought, so an engine
 * is polled by the instance that is first in its order, and by a later one only if nothing was told for longer than its
 * turn: the first has ended, or cannot reach the others.
 *
 * <p>An engine that does not answer one instance is polled by a second one, and if both fail, though other engines
 * answer them, it counts as unreachable for all, without polls of their own. What an instance polls beyond its turns
 * has a fixed rate, whatever the state of the engines: an engine that is slow must not get more polls for it. Used on
 * one thread.
 */
final class PollSchedule {
    /** The most engines that are polled together with another one. */
    private static final int MAX_TOGETHER = 8;

    /** The number of other instances in a group from which on it is large. */
    private static final int MIN_LARGE_GROUP = 8;

    /** The age at which any instance polls, in milliseconds. */
    private static final long LAST_TURN_MILLIS = 2_500;

    /** The age at which engines are polled while it is doubtful whether any can be reached, in milliseconds. */
    private static final long DOUBTFUL_AGE_MILLIS = 500;

    /** The shortest time between two polls, in milliseconds. */
    private static final long MIN_INTERVAL_MILLIS = 20;

    /** The polls a second that an instance makes beyond its turns. */
    private static final double EXTRA_POLLS_PER_SECOND = 4;

    /** The polls beyond its turns that an instance makes at a time, enough to show that it is partitioned. */
    private static final double MAX_EXTRA_POLLS = 6;

    /** The number of instances that have to fail to reach an engine before it counts as unreachable for all. */
    private static final int OBSERVERS = 2;

    /** The number of instances that poll at once an engine that has not answered another one. */
    private static final int FIRST_CONFIRMERS = 2;

    /** The time by which each later instance waits longer until it polls such an engine, in milliseconds. */
    private static final long CONFIRMATION_STEP_MILLIS = 350;

    /** The time after which the first instances have told their results, in milliseconds. */
    private static final long MAX_CONFIRMATION_MILLIS = 1_200;

    /** The time by which each further instance waits longer to poll an engine that answers again, in milliseconds. */
    private static final long RETURN_STEP_MILLIS = 50;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The turns where few instances share the polls. */
    private static final Turns SMALL_GROUP = new Turns(1_000, 1_500, 100, 0, 0);

    /**
     * The turns where many instances share the polls. What a poll has brought is told to all of them, so each instance
     * polls its engines together and tells it in one notice. The second instance waits until the first would have told
     * that it had no answer.
     */
    private static final Turns LARGE_GROUP = new Turns(1_600, 2_250, 50, 600, 50);

    /** Returns the place of this instance in the order of an engine, by its boot id; zero is the first. */
    private final ToIntFunction<String> place;

    /** Returns the number of other instances that share the polls. */
    private final IntSupplier groupSize;

    /** When any instance last polled each engine, as far as known, by boot id. */
    private final Map<String, Long> observedNanos = new HashMap<>();

    /** When each engine was first due of which no report was known, by boot id. */
    private final Map<String, Long> listedNanos = new HashMap<>();

    /** The polls beyond the turns of this instance, by boot id. */
    private final Map<String, ExtraPoll> extraPolls = new HashMap<>();

    private final UnansweredPolls unanswered = UnansweredPolls.create(OBSERVERS);

    /** The polls that this instance may make beyond its turns; null before the first look. */
    private TokenBucket extraBudget;

    PollSchedule(ToIntFunction<String> place, IntSupplier groupSize) {
        this.place = place;
        this.groupSize = groupSize;
    }

    /** Records that this instance polls an engine at the given time. */
    void recordPolled(String boot, long atNanos) {
        extraPolls.remove(boot);
        recordObserved(boot, atNanos);
    }

    /** Records that an engine has answered this instance at the given time. */
    void recordOwnAnswer(String boot, long atNanos) {
        extraPolls.remove(boot);
        unanswered.recordAnswer(boot, UnansweredPolls.SELF, atNanos);
        recordObserved(boot, atNanos);
    }

    /**
     * Records that an engine has answered another instance at the given time. If this one could not reach it, it polls
     * it, too; instances do so one after the other.
     */
    void recordAnswer(Backend engine, String instance, long atNanos) {
        String boot = engine.entry().bootId();
        extraPolls.remove(boot);
        unanswered.recordAnswer(boot, instance, atNanos);
        recordObserved(boot, atNanos);
        if (engine.unreachable()) {
            long waitNanos = place.applyAsInt(boot) * RETURN_STEP_MILLIS * NANOS_PER_MILLI;
            extraPolls.put(boot, new ExtraPoll(atNanos + waitNanos, PollCause.UNREACHABLE));
        }
    }

    /** Records that an engine has not answered this instance. */
    void recordOwnFailure(String boot, long nowNanos) {
        unanswered.recordFailure(boot, UnansweredPolls.SELF, nowNanos);
    }

    /**
     * Records that an engine has not answered another instance. One of the first in the order then polls it as well,
     * unless it has answered meanwhile or this instance has just failed itself.
     */
    void recordFailure(String boot, String instance, long nowNanos) {
        unanswered.recordFailure(boot, instance, nowNanos);
        if (unanswered.isContradicted(boot, instance, nowNanos)) {
            return;
        }
        recordObserved(boot, nowNanos);
        if (unanswered.needsObserver(boot, nowNanos)) {
            long waitNanos = confirmationMillis(place.applyAsInt(boot)) * NANOS_PER_MILLI;
            extraPolls.putIfAbsent(boot, new ExtraPoll(nowNanos + waitNanos, PollCause.TOLD));
        } else {
            extraPolls.remove(boot);
        }
    }

    /** Returns after how many milliseconds the instance at a place polls an engine that others fail to reach. */
    private static long confirmationMillis(int position) {
        int laterBy = Math.max(0, position - FIRST_CONFIRMERS + 1);
        return Math.min(laterBy * CONFIRMATION_STEP_MILLIS, MAX_CONFIRMATION_MILLIS + position * RETURN_STEP_MILLIS);
    }

    /** Returns whether enough instances have lately failed to reach an engine for all to take it for unreachable. */
    boolean isUnreachableForAll(String boot, long nowNanos) {
        return unanswered.isAgreed(boot, nowNanos);
    }

    /**
     * Returns the engines to poll now: the one that is due longest, if one is due, and the known ones that soon would
     * be this instance's turn.
     */
    List<DuePoll> due(List<Backend> engines, boolean doubtful, long nowNanos) {
        Optional<DuePoll> extra = dueExtra(engines, doubtful, nowNanos);
        if (extra.isPresent()) {
            extraBudget.take(1, nowNanos);
            return List.of(extra.get());
        }
        Optional<Backend> longest = dueLongest(engines, nowNanos);
        if (longest.isEmpty()) {
            return List.of();
        }
        List<DuePoll> due = new ArrayList<>();
        due.add(new DuePoll(longest.get(), causeOfTurn(longest.get())));
        long soonNanos = nowNanos + turns().togetherMillis() * NANOS_PER_MILLI;
        engines.stream()
                .filter(engine -> engine != longest.get() && isFirstOfKnown(engine))
                .filter(engine -> dueNanos(engine, nowNanos) - soonNanos < 0)
                .limit(MAX_TOGETHER)
                .forEach(engine -> due.add(new DuePoll(engine, PollCause.TURN)));
        return due;
    }

    /** Returns a poll beyond the turns of this instance, if one is due and the rate of these polls permits it. */
    private Optional<DuePoll> dueExtra(List<Backend> engines, boolean doubtful, long nowNanos) {
        extraPolls.entrySet().removeIf(extra -> isNeedless(extra.getKey(), extra.getValue(), nowNanos));
        if (extraBudgetMillis(nowNanos) > 0) {
            return Optional.empty();
        }
        Optional<DuePoll> told = engines.stream()
                .filter(engine -> isExtraDue(engine, nowNanos))
                .findFirst()
                .map(engine -> new DuePoll(
                        engine, extraPolls.get(engine.entry().bootId()).cause()));
        return told.isPresent() || !doubtful ? told : dueInDoubt(engines, nowNanos);
    }

    /** Returns the engine that shows whether any can be reached; instances look at different ones. */
    private Optional<DuePoll> dueInDoubt(List<Backend> engines, long nowNanos) {
        return engines.stream()
                .filter(engine ->
                        nowNanos - observedNanos.getOrDefault(engine.entry().bootId(), nowNanos)
                                >= DOUBTFUL_AGE_MILLIS * NANOS_PER_MILLI)
                .min(Comparator.comparingInt(
                        engine -> place.applyAsInt(engine.entry().bootId())))
                .map(engine -> new DuePoll(engine, PollCause.DOUBT));
    }

    /** Returns whether other instances have found out meanwhile what a poll was to show. */
    private boolean isNeedless(String boot, ExtraPoll extra, long nowNanos) {
        return extra.cause() == PollCause.TOLD && !unanswered.needsObserver(boot, nowNanos);
    }

    private boolean isExtraDue(Backend engine, long nowNanos) {
        ExtraPoll extra = extraPolls.get(engine.entry().bootId());
        return extra != null && extra.dueNanos() - nowNanos <= 0;
    }

    private Optional<Backend> dueLongest(List<Backend> engines, long nowNanos) {
        Backend most = null;
        long mostNanos = -1;
        for (Backend engine : engines) {
            long overdueNanos = nowNanos - dueNanos(engine, nowNanos);
            if (overdueNanos >= 0 && overdueNanos > mostNanos) {
                most = engine;
                mostNanos = overdueNanos;
            }
        }
        return Optional.ofNullable(most);
    }

    private PollCause causeOfTurn(Backend engine) {
        String boot = engine.entry().bootId();
        if (!observedNanos.containsKey(boot)) {
            return PollCause.LISTED;
        }
        return place.applyAsInt(boot) == 0 ? PollCause.TURN : PollCause.LATE_TURN;
    }

    /** Returns whether an engine has been polled before, and this instance is the first to poll it again. */
    private boolean isFirstOfKnown(Backend engine) {
        String boot = engine.entry().bootId();
        return turns().togetherMillis() > 0 && observedNanos.containsKey(boot) && place.applyAsInt(boot) == 0;
    }

    private Turns turns() {
        return groupSize.getAsInt() < MIN_LARGE_GROUP ? SMALL_GROUP : LARGE_GROUP;
    }

    /** Returns the time in milliseconds until the next engine is due. */
    long waitMillis(List<Backend> engines, boolean doubtful, long nowNanos) {
        long waitNanos = turns().firstMillis() * NANOS_PER_MILLI;
        for (Backend engine : engines) {
            waitNanos = Math.min(waitNanos, dueNanos(engine, nowNanos) - nowNanos);
            waitNanos = Math.min(waitNanos, extraWaitNanos(engine, doubtful, nowNanos));
        }
        return Math.max(MIN_INTERVAL_MILLIS, waitNanos / NANOS_PER_MILLI + 1);
    }

    /** Returns the time until an engine may be polled beyond the turns of this instance. */
    private long extraWaitNanos(Backend engine, boolean doubtful, long nowNanos) {
        String boot = engine.entry().bootId();
        long dueNanos = Long.MAX_VALUE;
        if (extraPolls.containsKey(boot)) {
            dueNanos = extraPolls.get(boot).dueNanos() - nowNanos;
        }
        if (doubtful && observedNanos.containsKey(boot)) {
            long doubtNanos = observedNanos.get(boot) + DOUBTFUL_AGE_MILLIS * NANOS_PER_MILLI - nowNanos;
            dueNanos = Math.min(dueNanos, doubtNanos);
        }
        return Math.max(dueNanos, (long) (extraBudgetMillis(nowNanos) * NANOS_PER_MILLI));
    }

    /** Returns the time in milliseconds until a poll beyond the turns is permitted, at most 0 if it is now. */
    private double extraBudgetMillis(long nowNanos) {
        if (extraBudget == null) {
            extraBudget = TokenBucket.full(EXTRA_POLLS_PER_SECOND, MAX_EXTRA_POLLS, nowNanos);
        }
        return extraBudget.millisUntil(1, nowNanos);
    }

    /** Forgets the engines that are no longer listed. */
    void retain(List<Backend> engines) {
        if (observedNanos.size() > 2 * engines.size() + 1) {
            Set<String> boots = new HashSet<>();
            engines.forEach(engine -> boots.add(engine.entry().bootId()));
            observedNanos.keySet().retainAll(boots);
            listedNanos.keySet().retainAll(boots);
            extraPolls.keySet().retainAll(boots);
            unanswered.retain(boots);
        }
    }

    private void recordObserved(String boot, long atNanos) {
        observedNanos.merge(boot, atNanos, (known, newer) -> newer - known > 0 ? newer : known);
    }

    private long dueNanos(Backend engine, long nowNanos) {
        String boot = engine.entry().bootId();
        Long observed = observedNanos.get(boot);
        if (observed == null) {
            long listed = listedNanos.computeIfAbsent(boot, key -> nowNanos);
            return listed + place.applyAsInt(boot) * turns().firstStepMillis() * NANOS_PER_MILLI;
        }
        return observed + turnMillis(place.applyAsInt(boot)) * NANOS_PER_MILLI;
    }

    private long turnMillis(int position) {
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
     * A poll beyond the turns of this instance.
     *
     * @param dueNanos when it is due
     * @param cause why it is made
     */
    private record ExtraPoll(long dueNanos, PollCause cause) {}

    /**
     * The ages of the newest poll at which instances poll, in milliseconds.
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
