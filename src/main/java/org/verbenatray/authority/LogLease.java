package org.verbenatray.authority;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.verbenatray.log.ConditionalLog;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;

/**
 * A lease stored in a log with conditional appends: the process that appends the next record holds it, and its fencing
 * token is one more than the offset of the record that claimed it.
 *
 * <p>The holder acts only for part of the term after it began to send its last accepted renewal. That time is checked
 * on the monotonic clock and on the wall clock, since the monotonic clock stands still while a machine is suspended.
 * Other processes claim the lease only after a full term without a new record, and then wait until orders of the former
 * holder can't arrive any more.
 *
 * <p>Not thread-safe.
 */
public final class LogLease {
    /** The time for which the holder may act after a renewal, in milliseconds. */
    private static final long ACTIVE_MILLIS = 5_000;

    /** The interval between two renewals in milliseconds. */
    private static final long RENEW_INTERVAL_MILLIS = 3_000;

    /** The time without a new record after which other processes claim the lease, in milliseconds. */
    private static final long TERM_MILLIS = 12_000;

    /** The wait of a new holder before it acts, since late orders of the former one may arrive, in milliseconds. */
    private static final long TAKEOVER_DELAY_MILLIS = 9_000;

    /**
     * The time between two reads of a process that does not hold the lease, in milliseconds. A read that waits for the
     * next record would end at each renewal, at all processes.
     */
    private static final long READ_INTERVAL_MILLIS = 4_000;

    /** The part of the time between two reads, and before a claim, that differs from process to process. */
    private static final long SPREAD_MILLIS = 1_000;

    /** The delay before the lease is read again after a failed call, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 3_000;

    private static final Logger log = System.getLogger(LogLease.class.getName());

    private final ConditionalLog leaseLog;

    /** The name of this process; no other running process may have the same name. */
    private final String holder;

    private final Ticker ticker;

    /** Returns the wall-clock time in milliseconds. */
    private final LongSupplier wallMillis;

    private final Scheduler scheduler;

    /** The offset after the last record that was read or appended. */
    private long endOffset;

    /** The time from which this process may claim the lease; null before the first read. */
    private Deadline claimAt;

    /** The fencing token of this process, or -1 while it does not hold the lease. */
    private long fencingToken = -1;

    /** The end of the time in which the holder may act, on the monotonic clock. */
    private Deadline activeUntil = new Deadline(0);

    /** The end of the time in which the holder may act, on the wall clock in milliseconds. */
    private long activeUntilWallMillis;

    /** The time from which the holder may act. */
    private Deadline activeFrom = new Deadline(0);

    /** Whether the lease is neither renewed nor claimed any more. */
    private boolean stopped;

    private LogLease(
            ConditionalLog leaseLog, String holder, Ticker ticker, LongSupplier wallMillis, Scheduler scheduler) {
        this.leaseLog = leaseLog;
        this.holder = holder;
        this.ticker = ticker;
        this.wallMillis = wallMillis;
        this.scheduler = scheduler;
    }

    /** Starts to watch a lease, and claims it when no other process holds it. */
    public static LogLease start(
            ConditionalLog leaseLog, String holder, Ticker ticker, LongSupplier wallMillis, Scheduler scheduler) {
        LogLease lease = new LogLease(leaseLog, holder, ticker, wallMillis, scheduler);
        lease.watch();
        return lease;
    }

    /**
     * Stops using the lease: it is neither renewed nor claimed any more. No release is written, so other processes
     * claim it after a full term.
     */
    public void stop() {
        stopped = true;
        fencingToken = -1;
    }

    /** Returns the fencing token if this process may act now; empty otherwise. */
    public OptionalLong activeFencingToken() {
        long nowNanos = ticker.nanos();
        boolean valid = fencingToken >= 0
                && !activeUntil.hasPassed(nowNanos)
                && wallMillis.getAsLong() < activeUntilWallMillis
                && activeFrom.hasPassed(nowNanos);
        return valid ? OptionalLong.of(fencingToken) : OptionalLong.empty();
    }

    /** Reads new records, and claims the lease if its term has expired. */
    private void watch() {
        if (stopped || fencingToken >= 0) {
            return;
        }
        leaseLog.read(endOffset, 0).whenComplete((tail, failure) -> {
            if (failure != null) {
                schedule(RETRY_DELAY_MILLIS + spreadMillis(), this::watch);
                return;
            }
            boolean first = claimAt == null;
            if (first || tail.end() > endOffset) {
                claimAt = Deadline.afterMillis(ticker.nanos(), tail.end() == 0 ? 0 : TERM_MILLIS);
            }
            boolean unclaimed = tail.end() == 0;
            endOffset = tail.end();
            long untilClaimMillis = claimAt.remainingMillis(ticker.nanos());
            if (untilClaimMillis <= 0) {
                claim(unclaimed ? 0 : TAKEOVER_DELAY_MILLIS);
            } else {
                schedule(Math.min(READ_INTERVAL_MILLIS, untilClaimMillis) + spreadMillis(), this::watch);
            }
        });
    }

    /** Returns the part of a delay that differs from process to process, so that they do not call at once. */
    private long spreadMillis() {
        return Math.floorMod(holder.hashCode(), SPREAD_MILLIS);
    }

    /** Claims the lease, to act on it only after the given delay. */
    private void claim(long waitMillis) {
        Deadline actFrom = Deadline.afterMillis(ticker.nanos(), waitMillis);
        append(offset -> {
            fencingToken = offset + 1;
            activeFrom = actFrom;
            Event.named("lease_taken").with("number", fencingToken).log(log, Level.INFO);
        });
    }

    private void renew() {
        if (!stopped && fencingToken >= 0) {
            append(offset -> {});
        }
    }

    /**
     * Appends a record of this process, which claims or renews the lease. If the append fails or another record came
     * first, the lease is lost.
     */
    private void append(LongConsumer onAppended) {
        long nowNanos = ticker.nanos();
        long nowWallMillis = wallMillis.getAsLong();
        leaseLog.appendAt(endOffset, holder.getBytes(StandardCharsets.UTF_8)).whenComplete((offset, failure) -> {
            if (stopped) {
                return;
            }
            if (failure != null || offset.isEmpty()) {
                handleAppendFailure(failure == null ? "another record came first" : failure.getMessage());
                return;
            }
            onAppended.accept(offset.getAsLong());
            endOffset = offset.getAsLong() + 1;
            activeUntil = Deadline.afterMillis(nowNanos, ACTIVE_MILLIS);
            activeUntilWallMillis = nowWallMillis + ACTIVE_MILLIS;
            schedule(RENEW_INTERVAL_MILLIS, this::renew);
        });
    }

    /** Stops acting as holder and watches the lease again after an append that failed or whose result is unknown. */
    private void handleAppendFailure(String why) {
        if (fencingToken >= 0) {
            Event.named("lease_lost")
                    .with("number", fencingToken)
                    .with("why", why)
                    .log(log, Level.INFO);
        }
        fencingToken = -1;
        claimAt = Deadline.afterMillis(ticker.nanos(), TERM_MILLIS);
        schedule(RETRY_DELAY_MILLIS + spreadMillis(), this::watch);
    }

    private void schedule(long millis, Runnable task) {
        scheduler.runAt(Deadline.afterMillis(ticker.nanos(), millis), task);
    }
}
