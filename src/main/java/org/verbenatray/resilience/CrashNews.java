package org.verbenatray.resilience;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import org.verbenatray.log.ConditionalLog;
import org.verbenatray.resilience.CrashLedger.Crash;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;

/** Tells the other instances of requests that crash servers, and hears of theirs, through a log. */
public final class CrashNews {
    /** The longest wait of one read in milliseconds. */
    private static final long READ_MILLIS = 2_500;

    /** The wait after a failed call in milliseconds. */
    private static final long RETRY_MILLIS = 1_000;

    /** The times that a record is sent where the log does not answer. */
    private static final int MAX_SENDS = 4;

    /** The log of events. */
    private static final Logger log = System.getLogger(CrashNews.class.getName());

    /** The log that carries the news. */
    private final ConditionalLog source;

    /** The ledger. */
    private final CrashLedger ledger;

    /** The clock. */
    private final Ticker ticker;

    /** Runs delayed tasks. */
    private final Scheduler scheduler;

    /** The offset of the next record. */
    private long next;

    /** Creates the news. */
    private CrashNews(ConditionalLog source, CrashLedger ledger, Ticker ticker, Scheduler scheduler) {
        this.source = source;
        this.ledger = ledger;
        this.ticker = ticker;
        this.scheduler = scheduler;
    }

    /** Starts to hear the news of others. */
    public static CrashNews start(ConditionalLog source, CrashLedger ledger, Ticker ticker, Scheduler scheduler) {
        CrashNews news = new CrashNews(source, ledger, ticker, scheduler);
        news.read();
        return news;
    }

    /** Tells the others of a crash. */
    public void tell(Crash crash) {
        send((crash.fingerprint() + " " + crash.boot()).getBytes(StandardCharsets.UTF_8), MAX_SENDS);
    }

    /** Appends a record, again after a failure: a second copy counts for nothing. */
    private void send(byte[] content, int sends) {
        source.append(content).whenComplete((done, failure) -> {
            if (failure != null && sends > 1) {
                later(RETRY_MILLIS, () -> send(content, sends - 1));
            } else if (failure != null) {
                Event.named("crash_not_told").with("why", failure.getMessage()).log(log, Level.WARNING);
            }
        });
    }

    /** Reads what was added. */
    private void read() {
        source.read(next, READ_MILLIS).whenComplete((tail, failure) -> {
            if (failure != null) {
                later(RETRY_MILLIS, this::read);
                return;
            }
            next = tail.end();
            tail.records().forEach(this::take);
            later(1, this::read);
        });
    }

    /** Takes a record. */
    private void take(byte[] content) {
        String[] words = new String(content, StandardCharsets.UTF_8).split(" ");
        if (words.length == 2 && ledger.learn(new Crash(words[0], words[1]))) {
            Event.named("crash_heard")
                    .with("fingerprint", words[0])
                    .with("backend", words[1])
                    .log(log, Level.INFO);
        }
    }

    /** Runs a task later. */
    private void later(long millis, Runnable task) {
        scheduler.runAt(Deadline.afterMillis(ticker.nanos(), millis), task);
    }
}
