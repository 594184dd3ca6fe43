package org.verbenatray.resilience;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import org.verbenatray.log.ConditionalLog;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;

/**
 * Shares crash records among instances through a log: publishes those of this instance and applies those of the others
 * to the {@link CrashLedger}.
 */
public final class CrashExchange {
    /** Longest time that one read waits for records. */
    private static final long READ_TIMEOUT_MILLIS = 2_500;

    private static final long RETRY_DELAY_MILLIS = 1_000;

    /** Attempts to append a record before it is dropped. */
    private static final int MAX_ATTEMPTS = 4;

    private static final Logger log = System.getLogger(CrashExchange.class.getName());

    private final ConditionalLog sharedLog;
    private final CrashLedger ledger;
    private final Ticker ticker;
    private final Scheduler scheduler;
    private long nextOffset;

    /** Whether the last read succeeded. */
    private boolean reachable = true;

    private CrashExchange(ConditionalLog sharedLog, CrashLedger ledger, Ticker ticker, Scheduler scheduler) {
        this.sharedLog = sharedLog;
        this.ledger = ledger;
        this.ticker = ticker;
        this.scheduler = scheduler;
    }

    /** Starts reading the records of the log from its beginning. */
    public static CrashExchange start(
            ConditionalLog sharedLog, CrashLedger ledger, Ticker ticker, Scheduler scheduler) {
        CrashExchange exchange = new CrashExchange(sharedLog, ledger, ticker, scheduler);
        exchange.read();
        return exchange;
    }

    /** Publishes a crash; if the log stays unavailable, it is logged and dropped. */
    public void publish(Crash crash) {
        append((crash.fingerprint() + " " + crash.boot()).getBytes(StandardCharsets.UTF_8), MAX_ATTEMPTS);
    }

    /** Appends a record, with retries; a duplicate is harmless, as the ledger ignores it. */
    private void append(byte[] content, int attemptsLeft) {
        sharedLog.append(content).whenComplete((done, failure) -> {
            if (failure != null && attemptsLeft > 1) {
                runLater(RETRY_DELAY_MILLIS, () -> append(content, attemptsLeft - 1));
            } else if (failure != null) {
                Event.named("crash_not_told").with("why", failure.getMessage()).log(log, Level.WARNING);
            }
        });
    }

    /** Reads and applies new records, then schedules the next read. */
    private void read() {
        sharedLog.read(nextOffset, READ_TIMEOUT_MILLIS).whenComplete((tail, failure) -> {
            logReachability(failure);
            if (failure != null) {
                runLater(RETRY_DELAY_MILLIS, this::read);
                return;
            }
            nextOffset = tail.end();
            tail.records().forEach(this::applyRecord);
            runLater(1, this::read);
        });
    }

    /** Applies a record, which holds a fingerprint and a boot id separated by a space; ignores malformed ones. */
    private void applyRecord(byte[] content) {
        String[] fields = new String(content, StandardCharsets.UTF_8).split(" ");
        if (fields.length == 2 && ledger.recordCrash(new Crash(fields[0], fields[1]))) {
            Event.named("crash_heard")
                    .with("fingerprint", fields[0])
                    .with("backend", fields[1])
                    .with("crashes", ledger.crashCount(fields[0]))
                    .log(log, Level.INFO);
        }
    }

    /** Logs the begin and the end of a time in which the records cannot be read. */
    private void logReachability(Throwable failure) {
        if (reachable == (failure == null)) {
            return;
        }
        reachable = failure == null;
        Event event = Event.named(reachable ? "log_reachable" : "log_unreachable")
                .with("log", "crashes")
                .with("next", nextOffset);
        if (!reachable) {
            event.with("why", failure.getMessage());
        }
        event.log(log, reachable ? Level.INFO : Level.WARNING);
    }

    private void runLater(long delayMillis, Runnable task) {
        scheduler.runAt(Deadline.afterMillis(ticker.nanos(), delayMillis), task);
    }
}
