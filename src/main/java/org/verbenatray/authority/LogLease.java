package org.verbenatray.authority;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.verbenatray.log.ConditionalLog;
import org.verbenatray.log.LogEpoch;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;

/**
 * A lease stored in a log with conditional appends: the process that appends the next record holds it, and its fencing
 * token is one more than the offset of the record that claimed it.
 *
 * <p>A log that is restored from an older copy gives offsets out again. So each record names the epoch of the log in
 * which it was written, and a claim behind a record of an earlier epoch first skips more offsets than the log can have
 * lost: fencing tokens rise over all epochs. When the epoch rises the holder stops at once, as its claim may be lost.
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

    /**
     * The offsets that a claim skips for each epoch since the last record. In an epoch no more than these are lost,
     * with a record each 3 s and copies some seconds old.
     */
    private static final int SKIPPED_PER_EPOCH = 256;

    /** The most offsets that a claim skips, so that it remains one small call. */
    private static final long MAX_SKIPPED = 65_536;

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

    private final LogEpoch epoch;

    /** The offset after the last record that was read or appended. */
    private long endOffset;

    /** The epoch in which the last record was written; zero if that is unknown or there is none. */
    private long lastRecordEpoch;

    /** The number of epochs that this process has seen begin; responses to calls of an earlier one are ignored. */
    private int rises;

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

    /** Whether no process of the system ran before this one's start. */
    private final boolean firstStart;

    private LogLease(
            ConditionalLog leaseLog,
            String holder,
            boolean firstStart,
            Ticker ticker,
            LongSupplier wallMillis,
            Scheduler scheduler) {
        this.leaseLog = leaseLog;
        this.holder = holder;
        this.firstStart = firstStart;
        this.ticker = ticker;
        this.wallMillis = wallMillis;
        this.scheduler = scheduler;
        this.epoch = leaseLog.epoch();
    }

    /**
     * Starts to watch a lease, and claims it when no other process holds it.
     *
     * @param holder the name of this process; no other running process may have the same name
     * @param firstStart whether the whole system starts for the first time, so that an empty log was never claimed
     * @param wallMillis returns the wall-clock time in milliseconds
     */
    public static LogLease start(
            ConditionalLog leaseLog,
            String holder,
            boolean firstStart,
            Ticker ticker,
            LongSupplier wallMillis,
            Scheduler scheduler) {
        LogLease lease = new LogLease(leaseLog, holder, firstStart, ticker, wallMillis, scheduler);
        lease.epoch.onRise(lease::startAnew);
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

    /** Gives the lease up and watches the log from its beginning, as its claim may be lost and offsets start anew. */
    private void startAnew() {
        rises++;
        endOffset = 0;
        lastRecordEpoch = 0;
        if (!stopped) {
            recordLoss("the log was restored from an older copy");
            claimAt = null;
            schedule(spreadMillis(), this::watch);
        }
    }

    /** Reads new records, and claims the lease if its term has expired. */
    private void watch() {
        if (stopped || fencingToken >= 0) {
            return;
        }
        int current = rises;
        leaseLog.read(endOffset, 0).whenComplete((tail, failure) -> {
            if (current != rises) {
                return;
            }
            if (failure != null) {
                schedule(RETRY_DELAY_MILLIS + spreadMillis(), this::watch);
                return;
            }
            handleTail(tail);
        });
    }

    private void handleTail(ConditionalLog.Tail tail) {
        boolean unclaimed = tail.end() == 0;
        if (claimAt == null || tail.end() > endOffset) {
            claimAt = Deadline.afterMillis(ticker.nanos(), unclaimed ? 0 : TERM_MILLIS);
        }
        if (!tail.records().isEmpty()) {
            lastRecordEpoch =
                    LeaseRecord.epochOf(tail.records().get(tail.records().size() - 1));
        }
        endOffset = tail.end();
        long untilClaimMillis = claimAt.remainingMillis(ticker.nanos());
        if (untilClaimMillis > 0) {
            schedule(Math.min(READ_INTERVAL_MILLIS, untilClaimMillis) + spreadMillis(), this::watch);
            return;
        }
        if (wasNeverHeld(tail)) {
            claim(0, 0);
        } else {
            claim(TAKEOVER_DELAY_MILLIS, skippedOffsets());
        }
    }

    /**
     * Returns whether the last record may be that of a holder. A holder that has seen the log restored has stopped, and
     * its record is of an earlier epoch; one that has not seen it stops before a new holder acts.
     */
    private boolean mayBeHeld(ConditionalLog.Tail tail) {
        return tail.end() > 0 && (rises == 0 || lastRecordEpoch == epoch.newest());
    }

    /** Returns whether certainly no process held the lease before; an empty log may also be that of an empty copy. */
    private boolean wasNeverHeld(ConditionalLog.Tail tail) {
        boolean neverRestored = epoch.newest() == 0 || firstStart && rises == 0 && epoch.newest() == 1;
        return tail.end() == 0 && neverRestored;
    }

    /** Returns the part of a delay that differs from process to process, so that they do not call at once. */
    private long spreadMillis() {
        return Math.floorMod(holder.hashCode(), SPREAD_MILLIS);
    }

    /** Claims the lease behind the given number of skipped offsets, to act on it only after the given delay. */
    private void claim(long waitMillis, int skipped) {
        Deadline actFrom = Deadline.afterMillis(ticker.nanos(), waitMillis);
        append(skipped, offset -> {
            fencingToken = offset + 1;
            activeFrom = actFrom;
            Event.named("lease_taken").with("number", fencingToken).log(log, Level.INFO);
        });
    }

    /** Returns the number of offsets that a claim skips, so that its own is higher than any that was lost. */
    private int skippedOffsets() {
        long epochs = Math.max(0, epoch.newest() - lastRecordEpoch);
        return (int) Math.min(MAX_SKIPPED, SKIPPED_PER_EPOCH * Math.min(MAX_SKIPPED, epochs));
    }

    private void renew() {
        if (!stopped && fencingToken >= 0) {
            append(0, offset -> {});
        }
    }

    /**
     * Appends a record of this process, which claims or renews the lease, after the given number of records that only
     * take up offsets. If the append fails or another record came first, the lease is lost.
     */
    private void append(int skipped, LongConsumer onAppended) {
        int current = rises;
        long nowNanos = ticker.nanos();
        long nowWallMillis = wallMillis.getAsLong();
        List<byte[]> contents = new ArrayList<>(Collections.nCopies(skipped, LeaseRecord.SKIPPED));
        contents.add(LeaseRecord.encode(holder, epoch.newest()));
        leaseLog.appendAt(endOffset, contents).whenComplete((offset, failure) -> {
            if (stopped || current != rises) {
                return;
            }
            if (failure != null || offset.isEmpty()) {
                loseLease(failure == null ? "another record came first" : failure.getMessage());
                return;
            }
            onAppended.accept(offset.getAsLong());
            endOffset = offset.getAsLong() + 1;
            lastRecordEpoch = epoch.newest();
            activeUntil = Deadline.afterMillis(nowNanos, ACTIVE_MILLIS);
            activeUntilWallMillis = nowWallMillis + ACTIVE_MILLIS;
            schedule(RENEW_INTERVAL_MILLIS, this::renew);
        });
    }

    /** Stops acting as holder and watches the lease again. */
    private void loseLease(String why) {
        recordLoss(why);
        claimAt = Deadline.afterMillis(ticker.nanos(), TERM_MILLIS);
        schedule(RETRY_DELAY_MILLIS + spreadMillis(), this::watch);
    }

    private void recordLoss(String why) {
        if (fencingToken >= 0) {
            Event.named("lease_lost")
                    .with("number", fencingToken)
                    .with("why", why)
                    .log(log, Level.INFO);
        }
        fencingToken = -1;
    }

    /** Runs a task after a delay in milliseconds, unless the log is restored from a copy meanwhile. */
    private void schedule(long millis, Runnable task) {
        int current = rises;
        scheduler.runAt(Deadline.afterMillis(ticker.nanos(), millis), () -> {
            if (current == rises) {
                task.run();
            }
        });
    }
}
