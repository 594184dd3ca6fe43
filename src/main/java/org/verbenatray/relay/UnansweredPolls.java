package org.verbenatray.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Tracks which instances each engine has lately left without an answer. One of them alone may be at fault itself, and
 * so may several that no engine answers; if others agree, the engine is unreachable. Used on one thread.
 */
final class UnansweredPolls {
    /** The name of this instance among the observers. */
    static final String SELF = "";

    /** The time in milliseconds for which a failure counts. */
    private static final long MAX_AGE_MILLIS = 4_000;

    /** The time in milliseconds for which an answer to another instance speaks against a failure. */
    private static final long ANSWER_MILLIS = 2_000;

    /** The time from the beginning of a poll to its failure, with some lateness, in milliseconds. */
    private static final long POLL_MILLIS = 700;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The number of instances that have to agree. */
    private final int observers;

    /** When each instance last had no answer, by boot id and instance. */
    private final Map<String, Map<String, Long>> failedNanos = new HashMap<>();

    /** When each engine last answered each instance, by boot id and instance. */
    private final Map<String, Map<String, Long>> answeredNanos = new HashMap<>();

    /** When any engine last answered each instance, by instance. */
    private final Map<String, Long> anyAnswerNanos = new HashMap<>();

    private UnansweredPolls(int observers) {
        this.observers = observers;
    }

    /** Creates an object for which the given number of instances have to agree. */
    static UnansweredPolls create(int observers) {
        return new UnansweredPolls(observers);
    }

    /** Records that an engine has not answered an instance. */
    void recordFailure(String boot, String instance, long nowNanos) {
        failedNanos.computeIfAbsent(boot, key -> new HashMap<>()).put(instance, nowNanos);
    }

    /** Records that an engine has answered an instance at the given time; earlier failures no longer count. */
    void recordAnswer(String boot, String instance, long atNanos) {
        answeredNanos.computeIfAbsent(boot, key -> new HashMap<>()).merge(instance, atNanos, Math::max);
        anyAnswerNanos.merge(instance, atNanos, Math::max);
        Map<String, Long> failures = failedNanos.get(boot);
        if (failures != null) {
            failures.values().removeIf(failed -> failed - atNanos <= 0);
        }
    }

    /** Returns whether an answer to another instance speaks against the failure of the given one. */
    boolean isContradicted(String boot, String instance, long nowNanos) {
        return hasAnsweredOther(boot, Set.of(instance), nowNanos);
    }

    /** Returns whether this instance should poll an engine that has failed to answer others. */
    boolean needsObserver(String boot, long nowNanos) {
        return !failures(boot, nowNanos).containsKey(SELF) && !isAgreed(boot, nowNanos);
    }

    /** Returns whether enough instances that reach other engines have lately had no answer of an engine. */
    boolean isAgreed(String boot, long nowNanos) {
        Map<String, Long> failures = failures(boot, nowNanos);
        long agreeing = failures.entrySet().stream()
                .filter(failure -> reachesOthers(failure.getKey(), failure.getValue()))
                .count();
        return agreeing >= observers && !hasAnsweredOther(boot, failures.keySet(), nowNanos);
    }

    /** Forgets the engines that are not among the given ones. */
    void retain(Set<String> boots) {
        failedNanos.keySet().retainAll(boots);
        answeredNanos.keySet().retainAll(boots);
    }

    /** Returns whether any engine has answered an instance since it began the poll that failed at the given time. */
    private boolean reachesOthers(String instance, long failed) {
        Long answered = anyAnswerNanos.get(instance);
        return answered != null && answered - (failed - POLL_MILLIS * NANOS_PER_MILLI) >= 0;
    }

    /** Returns whether an engine has just answered an instance that is not among the given ones. */
    private boolean hasAnsweredOther(String boot, Set<String> instances, long nowNanos) {
        long oldest = nowNanos - ANSWER_MILLIS * NANOS_PER_MILLI;
        return answeredNanos.getOrDefault(boot, Map.of()).entrySet().stream()
                .anyMatch(answer -> !instances.contains(answer.getKey()) && answer.getValue() - oldest >= 0);
    }

    private Map<String, Long> failures(String boot, long nowNanos) {
        Map<String, Long> failures = failedNanos.getOrDefault(boot, Map.of());
        if (!failures.isEmpty()) {
            failures.values().removeIf(failed -> nowNanos - failed > MAX_AGE_MILLIS * NANOS_PER_MILLI);
        }
        return failures;
    }
}
