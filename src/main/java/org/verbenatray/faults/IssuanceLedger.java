package org.verbenatray.faults;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.ToIntFunction;
import org.verbenatray.load.CallResult;
import org.verbenatray.load.CallResult.Outcome;

/**
 * Records the responses to every attempt of each issuance and verifies them against the number of times it ran. Safe
 * for concurrent use.
 */
final class IssuanceLedger {
    /** The JSON text of a response that states that nothing was run. */
    private static final String NOT_RUN_MARKER = "\"ran\":\"no\"";

    /** The finished attempts by the body of the call. */
    private final Map<String, List<Attempt>> attempts = new ConcurrentHashMap<>();

    /** Returns how often a call with the given body has run. */
    private final ToIntFunction<String> runs;

    private final Violations violations;

    private IssuanceLedger(ToIntFunction<String> runs, Violations violations) {
        this.runs = runs;
        this.violations = violations;
    }

    /** Returns an empty ledger. */
    static IssuanceLedger create(ToIntFunction<String> runs, Violations violations) {
        return new IssuanceLedger(runs, violations);
    }

    /**
     * Records a finished attempt. Adds a violation if the response states that nothing was run although the call has
     * run.
     */
    void recordAttempt(String body, CallResult result, long nowNanos) {
        boolean saysNotRun =
                result.outcome() == Outcome.NOT_RUN && result.detail().contains(NOT_RUN_MARKER);
        if (saysNotRun && runs.applyAsInt(body) > 0) {
            List<Attempt> earlier = attempts.getOrDefault(body, List.of());
            violations.add("told \"not run\" after it ran: " + body + " " + result.detail() + " after " + earlier);
        }
        attempts.computeIfAbsent(body, key -> new CopyOnWriteArrayList<>())
                .add(new Attempt(nowNanos, result.outcome(), saysNotRun, result.detail()));
    }

    /** Returns the number of distinct issuances. */
    int count() {
        return attempts.size();
    }

    /** Verifies every issuance. Must be called after the last attempt has finished. */
    void verify() {
        attempts.forEach((body, finished) -> verify(body, finished, runs.applyAsInt(body)));
    }

    private void verify(String body, List<Attempt> finished, int runCount) {
        violations.addUnless(runCount <= 1, "ran " + runCount + " times: " + body + " " + finished);
        boolean completed = finished.stream().anyMatch(attempt -> attempt.outcome() == Outcome.WHOLE);
        violations.addUnless(
                !completed || runCount == 1, "answered but ran " + runCount + " times: " + body + " " + finished);
        for (Attempt attempt : finished) {
            boolean explained =
                    finished.stream().anyMatch(other -> other.endNanos() >= attempt.endNanos() && !other.saysNotRun());
            violations.addUnless(
                    !attempt.saysNotRun() || runCount == 0 || explained,
                    "told \"not run\" but ran: " + body + " " + finished);
        }
    }

    /**
     * One finished attempt.
     *
     * @param endNanos the time of its end in nanoseconds
     * @param outcome its outcome
     * @param saysNotRun whether the response states that nothing was run
     * @param detail the details of a failure
     */
    private record Attempt(long endNanos, Outcome outcome, boolean saysNotRun, String detail) {}
}
