package org.verbenatray.usage;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashSet;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.verbenatray.duties.DutyOutcome;
import org.verbenatray.duties.UsageReport;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * Reports each window of usage with one set of counts, whoever holds the duty: the holder first states the counts in
 * the log, where only the first statement for a window counts, and then reports what the log has until it is accepted.
 * A successor reports the same counts again, as it can't know whether they have arrived. Used on one thread.
 */
public final class UsageReporter {
    /** The time after the end of a window in which the counts of all instances arrive, in milliseconds. */
    private static final long GATHER_MILLIS = 1_000;

    /** The part of the time until a report is due for which the counts of instances that are late are awaited. */
    private static final double LATE_COUNTS_SHARE = 0.4;

    /** The time after the due time until which a window is still reported, as a multiple of it. */
    private static final int OVERDUE_FACTOR = 3;

    /** The delay before a report is sent again, in milliseconds. */
    private static final long RETRY_MILLIS = 1_000;

    private static final Logger log = System.getLogger(UsageReporter.class.getName());

    private final UsageWindows windows;

    private final UsageTotals totals;

    private final long dueMillis;

    /** States a fact in the log; the result tells whether the log has it for certain. */
    private final Function<String, CompletableFuture<Boolean>> statement;

    /** Returns the true time in milliseconds since 1970. */
    private final LongSupplier trueMillis;

    private final Ticker ticker;

    /** The reports that the log holds, by window. */
    private final NavigableMap<Long, UsageReport> stated = new TreeMap<>();

    /** The windows whose reports were accepted from this instance. */
    private final Set<Long> accepted = new HashSet<>();

    /** Whether a statement is under way. */
    private boolean stating;

    /** Whether a report is under way. */
    private boolean reporting;

    /** When the next report may be sent. */
    private Deadline nextReport;

    private UsageReporter(
            UsageWindows windows,
            UsageTotals totals,
            long dueMillis,
            Function<String, CompletableFuture<Boolean>> statement,
            LongSupplier trueMillis,
            Ticker ticker) {
        this.windows = windows;
        this.totals = totals;
        this.dueMillis = dueMillis;
        this.statement = statement;
        this.trueMillis = trueMillis;
        this.ticker = ticker;
        this.nextReport = new Deadline(ticker.nanos());
    }

    /**
     * Creates a reporter.
     *
     * @param windows the windows
     * @param totals the counts of all instances
     * @param dueMillis the time after the end of a window at which its report is due, in milliseconds
     * @param statement states a fact in the log; the result tells whether the log has it for certain
     * @param trueMillis returns the true time in milliseconds since 1970
     * @param ticker the clock
     */
    public static UsageReporter create(
            UsageWindows windows,
            UsageTotals totals,
            long dueMillis,
            Function<String, CompletableFuture<Boolean>> statement,
            LongSupplier trueMillis,
            Ticker ticker) {
        return new UsageReporter(windows, totals, dueMillis, statement, trueMillis, ticker);
    }

    /** Receives a fact that the log holds; the first report of a window is the one that counts. */
    public void onFact(String fact) {
        UsageReport.parse(fact).ifPresent(report -> stated.putIfAbsent(report.window(), report));
        while (stated.size() > OVERDUE_FACTOR * maxOpenWindows()) {
            accepted.remove(stated.pollFirstEntry().getKey());
        }
    }

    /** Takes the next step, while this instance holds the duty: states or reports a window. */
    public void step(Function<UsageReport, CompletableFuture<DutyOutcome>> api) {
        if (!stating) {
            stateNext();
        }
        if (!reporting && nextReport.hasPassed(ticker.nanos())) {
            reportNext(api);
        }
    }

    private long maxOpenWindows() {
        return 1 + dueMillis / (windows.endMillis(0) - windows.endMillis(-1));
    }

    /** States the counts of the oldest window that has ended and is not stated. */
    private void stateNext() {
        long now = trueMillis.getAsLong();
        long oldest = windows.windowAt(now - OVERDUE_FACTOR * dueMillis);
        long next = stated.isEmpty() ? totals.firstWindow(windows.windowAt(now)) : stated.lastKey() + 1;
        long window = Math.max(oldest, next);
        long end = windows.endMillis(window);
        boolean gathered = now >= end + GATHER_MILLIS && totals.completeUntil(end);
        if (!gathered && now < end + GATHER_MILLIS + LATE_COUNTS_SHARE * dueMillis) {
            return;
        }
        stating = true;
        String fact = new UsageReport(window, totals.sum(window)).text();
        statement.apply(fact).whenComplete((known, failure) -> stating = false);
    }

    /** Reports the oldest window that the log holds and that was not accepted. */
    private void reportNext(Function<UsageReport, CompletableFuture<DutyOutcome>> api) {
        long oldestEnd = trueMillis.getAsLong() - OVERDUE_FACTOR * dueMillis;
        stated.values().stream()
                .filter(report -> !accepted.contains(report.window()) && windows.endMillis(report.window()) > oldestEnd)
                .findFirst()
                .ifPresent(report -> {
                    reporting = true;
                    api.apply(report).whenComplete((outcome, failure) -> onOutcome(report, outcome));
                });
    }

    private void onOutcome(UsageReport report, DutyOutcome outcome) {
        reporting = false;
        if (outcome == DutyOutcome.ACCEPTED || outcome == DutyOutcome.REJECTED) {
            accepted.add(report.window());
        } else {
            nextReport = Deadline.afterMillis(ticker.nanos(), RETRY_MILLIS);
        }
        Event.named("usage_reported")
                .with("window", report.window())
                .with("customers", report.counts().size())
                .with(
                        "requests",
                        report.counts().values().stream()
                                .mapToInt(Integer::intValue)
                                .sum())
                .with("late_ms", trueMillis.getAsLong() - windows.endMillis(report.window()))
                .with("outcome", outcome)
                .log(log, Level.INFO);
    }
}
