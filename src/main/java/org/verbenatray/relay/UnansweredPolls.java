package org.verbenatray.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Tracks which instances each engine has lately left without an answer. One of them alone may be at fault itself; if
 * several agree, the engine is unreachable. Used on one thread.
 */
final class UnansweredPolls {
    /** The name of this instance among the observers. */
    static final String SELF = "";

    /** The time in milliseconds for which a failure counts. */
    private static final long MAX_AGE_MILLIS = 4_000;

    /** The time before a failure was told in which an answer to another instance shows that the engine lives. */
    private static final long ANSWER_MILLIS = 600;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The number of instances that have to agree. */
    private final int observers;

    /** When each instance last had no answer, by boot id and instance. */
    private final Map<String, Map<String, Long>> failedNanos = new HashMap<>();

    /** When each engine last answered each instance, by boot id and instance. */
    private final Map<String, Map<String, Long>> answeredNanos = new HashMap<>();

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
        Map<String, Long> failures = failedNanos.get(boot);
        if (failures != null) {
            failures.values().removeIf(failed -> failed - atNanos <= 0);
        }
    }

    /** Returns whether a further instance should poll an engine that has just failed to answer the given one. */
    boolean needsObserver(String boot, String instance, long nowNanos) {
        return !hasAnsweredOther(boot, instance, nowNanos)
                && !failures(boot, nowNanos).containsKey(SELF)
                && failures(boot, nowNanos).size() < observers;
    }

    /** Returns whether enough instances have lately had no answer of an engine. */
    boolean isAgreed(String boot, long nowNanos) {
        return failures(boot, nowNanos).size() >= observers;
    }

    /** Forgets the engines that are not among the given ones. */
    void retain(Set<String> boots) {
        failedNanos.keySet().retainAll(boots);
        answeredNanos.keySet().retainAll(boots);
    }

    /** Returns whether an engine has just answered another instance than the given one. */
    private boolean hasAnsweredOther(String boot, String instance, long nowNanos) {
        long oldest = nowNanos - ANSWER_MILLIS * NANOS_PER_MILLI;
        return answeredNanos.getOrDefault(boot, Map.of()).entrySet().stream()
                .anyMatch(answer -> !answer.getKey().equals(instance) && answer.getValue() - oldest >= 0);
    }

    private Map<String, Long> failures(String boot, long nowNanos) {
        Map<String, Long> failures = failedNanos.getOrDefault(boot, Map.of());
        if (!failures.isEmpty()) {
            failures.values().removeIf(failed -> nowNanos - failed > MAX_AGE_MILLIS * NANOS_PER_MILLI);
        }
        return failures;
    }
}
