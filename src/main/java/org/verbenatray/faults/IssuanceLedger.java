package org.verbenatray.faults;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.ToIntFunction;
import org.verbenatray.load.CallResult;
import org.verbenatray.load.CallResult.Outcome;

/** What callers were told about each issuance, judged by how often it ran; safe for concurrent use. */
final class IssuanceLedger {
    /** The mark of an answer that says that nothing was run. */
    private static final String SAYS_NOT_RUN = "\"ran\":\"no\"";

    /** The attempts by the body of the call. */
    private final Map<String, List<Attempt>> attempts = new ConcurrentHashMap<>();

    /** Returns how often a body ran. */
    private final ToIntFunction<String> runs;

    /** Where broken invariants are noted. */
    private final Violations violations;

    /** Creates a ledger. */
    private IssuanceLedger(ToIntFunction<String> runs, Violations violations) {
        this.runs = runs;
        this.violations = violations;
    }

    /** Returns an empty ledger. */
    static IssuanceLedger create(ToIntFunction<String> runs, Violations violations) {
        return new IssuanceLedger(runs, violations);
    }

    /** Notes the end of an attempt. */
    void ended(String body, CallResult result, long nowNanos) {
        boolean saysNotRun =
                result.outcome() == Outcome.NOT_RUN && result.detail().contains(SAYS_NOT_RUN);
        if (saysNotRun && runs.applyAsInt(body) > 0) {
            List<Attempt> known = attempts.getOrDefault(body, List.of());
            violations.add("told \"not run\" after it ran: " + body + " " + result.detail() + " after " + known);
        }
        attempts.computeIfAbsent(body, key -> new CopyOnWriteArrayList<>())
                .add(new Attempt(nowNanos, result.outcome(), saysNotRun, result.detail()));
    }

    /** Returns the number of issuances. */
    int count() {
        return attempts.size();
    }

    /** Judges every issuance once nothing is in flight any more. */
    void judge() {
        attempts.forEach((body, ended) -> judge(body, ended, runs.applyAsInt(body)));
    }

    /** Judges one issuance. */
    private void judge(String body, List<Attempt> ended, int ran) {
        violations.unless(ran <= 1, "ran " + ran + " times: " + body + " " + ended);
        boolean answered = ended.stream().anyMatch(attempt -> attempt.outcome() == Outcome.WHOLE);
        violations.unless(!answered || ran == 1, "answered but ran " + ran + " times: " + body + " " + ended);
        for (Attempt attempt : ended) {
            boolean explained =
                    ended.stream().anyMatch(other -> other.endNanos() >= attempt.endNanos() && !other.saysNotRun());
            violations.unless(
                    !attempt.saysNotRun() || ran == 0 || explained, "told \"not run\" but ran: " + body + " " + ended);
        }
    }

    /**
     * One ended attempt.
     *
     * @param endNanos when it ended
     * @param outcome how
     * @param saysNotRun whether the answer said that nothing was run
     * @param detail what was wrong
     */
    private record Attempt(long endNanos, Outcome outcome, boolean saysNotRun, String detail) {}
}
