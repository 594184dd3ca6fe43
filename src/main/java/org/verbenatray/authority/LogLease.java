package org.verbenatray.authority;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.verbenatray.log.ConditionalLog;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;

/**
 * A lease in a log with conditional appends: whoever adds the next record holds it, and the offset of its first record
 * is its fencing number.
 *
 * <p>The holder acts only for a part of the term after it began to send its last accepted renewal, by the monotonic and
 * by the wall clock, since a suspended machine's monotonic clock stands still. Others claim the lease only a whole term
 * after they read its last record, and then wait until orders of the former holder can't arrive any more.
 */
public final class LogLease {
    /** The time after a renewal for which the holder may act, in milliseconds. */
    private static final long ACT_MILLIS = 5_000;

    /** The time between two renewals in milliseconds. */
    private static final long RENEW_MILLIS = 3_000;

    /** The time without a new record after which others claim the lease, in milliseconds. */
    private static final long TERM_MILLIS = 12_000;

    /** The time in milliseconds that a new holder waits for late orders of the former one. */
    private static final long LATE_ORDERS_MILLIS = 9_000;

    /** The longest wait of one read in milliseconds. */
    private static final long READ_MILLIS = 2_500;

    /** The wait after a failed call in milliseconds. */
    private static final long RETRY_MILLIS = 1_000;

    /** The log of events. */
    private static final Logger log = System.getLogger(LogLease.class.getName());

    /** The log that holds the lease. */
    private final ConditionalLog source;

    /** The name of this holder, which no other process bears at the same time. */
    private final String holder;

    /** The monotonic clock. */
    private final Ticker ticker;

    /** The wall clock in milliseconds. */
    private final LongSupplier wallMillis;

    /** Runs delayed tasks. */
    private final Scheduler scheduler;

    /** The offset after the last record that was seen. */
    private long end;

    /** When others may claim the lease. */
    private Deadline claimAt;

    /** The own fencing number, -1 while another holds the lease. */
    private long number = -1;

    /** Until when the holder may act by the monotonic clock. */
    private Deadline actUntil = new Deadline(0);

    /** Until when the holder may act by the wall clock in milliseconds. */
    private long actUntilWall;

    /** From when on the holder may act. */
    private Deadline actFrom = new Deadline(0);

    /** Whether the process is about to end. */
    private boolean stopped;

    /** Creates a lease that this process does not hold. */
    private LogLease(
            ConditionalLog source, String holder, Ticker ticker, LongSupplier wallMillis, Scheduler scheduler) {
        this.source = source;
        this.holder = holder;
        this.ticker = ticker;
        this.wallMillis = wallMillis;
        this.scheduler = scheduler;
    }

    /** Starts to watch a lease and to claim it where nobody holds it. */
    public static LogLease start(
            ConditionalLog source, String holder, Ticker ticker, LongSupplier wallMillis, Scheduler scheduler) {
        LogLease lease = new LogLease(source, holder, ticker, wallMillis, scheduler);
        lease.watch(0);
        return lease;
    }

    /** Gives the lease up: it is neither renewed nor claimed any more. */
    public void stop() {
        stopped = true;
        number = -1;
    }

    /** Returns the fencing number where this process may act right now. */
    public OptionalLong authority() {
        long now = ticker.nanos();
        boolean valid =
                number >= 0 && !actUntil.passed(now) && wallMillis.getAsLong() < actUntilWall && actFrom.passed(now);
        return valid ? OptionalLong.of(number) : OptionalLong.empty();
    }

    /** Reads what was added and claims the lease where its term is over. */
    private void watch(long waitMillis) {
        if (stopped || number >= 0) {
            return;
        }
        source.read(end, waitMillis).whenComplete((tail, failure) -> {
            if (failure != null) {
                later(RETRY_MILLIS, () -> watch(0));
                return;
            }
            boolean first = claimAt == null;
            if (first || tail.end() > end) {
                claimAt = Deadline.afterMillis(ticker.nanos(), tail.end() == 0 ? 0 : TERM_MILLIS);
            }
            boolean unclaimed = tail.end() == 0;
            end = tail.end();
            if (claimAt.passed(ticker.nanos())) {
                claim(unclaimed ? 0 : LATE_ORDERS_MILLIS);
            } else {
                later(1, () -> watch(Math.min(READ_MILLIS, claimAt.remainingMillis(ticker.nanos()) + 1)));
            }
        });
    }

    /** Claims the lease and acts after a wait. */
    private void claim(long waitMillis) {
        Deadline from = Deadline.afterMillis(ticker.nanos(), waitMillis);
        append(offset -> {
            number = offset + 1;
            actFrom = from;
            Event.named("lease_taken").with("number", number).log(log, Level.INFO);
        });
    }

    /** Renews the lease. */
    private void renew() {
        if (!stopped && number >= 0) {
            append(offset -> {});
        }
    }

    /** Appends a record of this holder; where another was faster the lease is lost. */
    private void append(java.util.function.LongConsumer onDone) {
        long now = ticker.nanos();
        long wall = wallMillis.getAsLong();
        source.appendAt(end, holder.getBytes(StandardCharsets.UTF_8)).whenComplete((offset, failure) -> {
            if (stopped) {
                return;
            }
            if (failure != null || offset.isEmpty()) {
                lost(failure == null ? "another record came first" : failure.getMessage());
                return;
            }
            onDone.accept(offset.getAsLong());
            end = offset.getAsLong() + 1;
            actUntil = Deadline.afterMillis(now, ACT_MILLIS);
            actUntilWall = wall + ACT_MILLIS;
            later(RENEW_MILLIS, this::renew);
        });
    }

    /** Goes back to watching after an append that failed or may have. */
    private void lost(String why) {
        if (number >= 0) {
            Event.named("lease_lost").with("number", number).with("why", why).log(log, Level.INFO);
        }
        number = -1;
        claimAt = Deadline.afterMillis(ticker.nanos(), TERM_MILLIS);
        later(RETRY_MILLIS, () -> watch(0));
    }

    /** Runs a task later. */
    private void later(long millis, Runnable task) {
        scheduler.runAt(Deadline.afterMillis(ticker.nanos(), millis), task);
    }
}
