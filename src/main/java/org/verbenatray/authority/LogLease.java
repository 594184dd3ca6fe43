package org.verbenatray.authority;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
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
 * <p>The holder can state facts in its renewals, such as a decision that a successor has to repeat. A fact is accepted
 * only while the holder holds the lease, and every process that reads the log learns it.
 *
 * <p>Not thread-safe.
 */
public final class LogLease {
    /** The part of the time between two reads, and before a claim, that differs from process to process. */
    private static final double SPREAD_SHARE = 0.25;

    /** How much longer a process that is no candidate waits before it claims. */
    private static final int DISTANT_FACTOR = 4;

    /**
     * The offsets that a claim skips for each epoch since the last record. In an epoch no more than these are lost,
     * with a record each second and copies some seconds old.
     */
    private static final int SKIPPED_PER_EPOCH = 256;

    /** The most offsets that a claim skips, so that it remains one small call. */
    private static final long MAX_SKIPPED = 65_536;

    /** The longest delay before the lease is read again after a failed call of a process that does not hold it. */
    private static final long MAX_RETRY_DELAY_MILLIS = 3_000;

    /** The delay before the holder looks again whether a renewal without an answer was appended, in milliseconds. */
    private static final long RECHECK_DELAY_MILLIS = 500;

    private static final Logger log = System.getLogger(LogLease.class.getName());

    private final ConditionalLog leaseLog;

    /** The name of this process; no other running process may have the same name. */
    private final String holder;

    private final LeaseOptions options;

    private final LeaseTerms terms;

    private final Ticker ticker;

    /** Returns the wall-clock time in milliseconds. */
    private final LongSupplier wallMillis;

    private final Scheduler scheduler;

    private final LogEpoch epoch;

    private final PendingFacts pendingFacts = new PendingFacts();

    /** The offset after the last record that was read or appended. */
    private long endOffset;

    /** The last record that was read or appended, null if there is none. */
    private LeaseRecord lastRecord;

    /** The number of epochs that this process has seen begin; responses to calls of an earlier one are ignored. */
    private int rises;

    /** The time from which this process may claim the lease; null before the first read. */
    private Deadline claimAt;

    /** The fencing token of this process, or -1 while it does not hold the lease. */
    private long fencingToken = -1;

    /** Whether an append or the check whether it took effect is under way. */
    private boolean appending;

    /** When this process may act. */
    private HolderTerm term = HolderTerm.NONE;

    /** Before which this process does not claim the lease, as it gave it up; null if it never did. */
    private Deadline noClaimBefore;

    /** Whether the lease is neither renewed nor claimed any more. */
    private boolean stopped;

    private LogLease(
            ConditionalLog leaseLog,
            String holder,
            LeaseOptions options,
            Ticker ticker,
            LongSupplier wallMillis,
            Scheduler scheduler) {
        this.leaseLog = leaseLog;
        this.holder = holder;
        this.options = options;
        this.terms = options.terms();
        this.ticker = ticker;
        this.wallMillis = wallMillis;
        this.scheduler = scheduler;
        this.epoch = leaseLog.epoch();
    }

    /**
     * Starts to watch a lease, and claims it when no other process holds it.
     *
     * @param holder the name of this process; no other running process may have the same name
     * @param wallMillis returns the wall-clock time in milliseconds
     */
    public static LogLease start(
            ConditionalLog leaseLog,
            String holder,
            LeaseOptions options,
            Ticker ticker,
            LongSupplier wallMillis,
            Scheduler scheduler) {
        LogLease lease = new LogLease(leaseLog, holder, options, ticker, wallMillis, scheduler);
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
        pendingFacts.failAll();
    }

    /**
     * Gives the lease up, if this process holds it, so that another one can claim it at once. This process claims it
     * again after the given time at the earliest.
     */
    public void release(long noClaimMillis) {
        if (fencingToken < 0) {
            return;
        }
        noClaimBefore = Deadline.afterMillis(ticker.nanos(), noClaimMillis);
        byte[] content = LeaseRecord.release(holder, epoch.newest()).encode();
        leaseLog.appendAt(endOffset, List.of(content)).whenComplete((offset, failure) -> {
            if (failure != null || offset.isEmpty()) {
                Event.named("lease_not_released")
                        .with("why", failure == null ? "another record came first" : failure.getMessage())
                        .log(log, Level.INFO);
            }
        });
        loseLease("released");
    }

    /** Returns whether this process holds the lease, also while it may not act yet or any more. */
    public boolean isHeld() {
        return fencingToken >= 0;
    }

    /** Returns the fencing token if this process may act now; empty otherwise. */
    public OptionalLong activeFencingToken() {
        boolean valid = fencingToken >= 0 && isActive() && term.from().hasPassed(ticker.nanos());
        return valid ? OptionalLong.of(fencingToken) : OptionalLong.empty();
    }

    /**
     * States a fact in a renewal. The result is true once the log has it, and false if this process does not hold the
     * lease or loses it before that is known; the fact may then be in the log nevertheless.
     */
    public CompletableFuture<Boolean> state(String fact) {
        if (fencingToken < 0) {
            return CompletableFuture.completedFuture(false);
        }
        CompletableFuture<Boolean> stated = pendingFacts.add(fact);
        if (!appending) {
            appendNext();
        }
        return stated;
    }

    private boolean isActive() {
        return term.lasts(ticker.nanos(), wallMillis.getAsLong());
    }

    /** Gives the lease up and watches the log from its beginning, as its claim may be lost and offsets start anew. */
    private void startAnew() {
        rises++;
        endOffset = 0;
        lastRecord = null;
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
            if (current != rises || stopped || fencingToken >= 0) {
                return;
            }
            if (failure != null) {
                schedule(retryMillis(), this::watch);
                return;
            }
            handleTail(tail);
        });
    }

    private void handleTail(ConditionalLog.Tail tail) {
        boolean isNew = claimAt == null || tail.end() > endOffset;
        applyRecords(tail);
        if (isNew) {
            claimAt = firstClaim(tail);
        }
        long untilClaimMillis = claimAt.remainingMillis(ticker.nanos());
        if (untilClaimMillis > 0) {
            long readMillis = isCandidate() ? terms.readMillis() : terms.distantReadMillis();
            schedule(Math.min(readMillis, untilClaimMillis) + spreadMillis(), this::watch);
            return;
        }
        if (wasNeverHeld(tail)) {
            claim(0, 0);
        } else {
            claim(terms.takeoverMillis(), skippedOffsets());
        }
    }

    /** Returns when the lease may be claimed if no record follows. */
    private Deadline firstClaim(ConditionalLog.Tail tail) {
        long now = ticker.nanos();
        if (wasNeverHeld(tail)) {
            return new Deadline(now);
        }
        if (tail.end() == 0) {
            return Deadline.afterMillis(now, terms.activeMillis());
        }
        if (lastRecord != null && lastRecord.released()) {
            return noClaimBefore == null ? new Deadline(now) : noClaimBefore;
        }
        return Deadline.afterMillis(now, distanceFactor() * terms.termMillis());
    }

    /** Remembers the last record, and passes the facts on. */
    private void applyRecords(ConditionalLog.Tail tail) {
        endOffset = Math.max(endOffset, tail.end());
        for (byte[] content : tail.records()) {
            lastRecord = LeaseRecord.decode(content);
            lastRecord.fact().ifPresent(options.onFact());
        }
    }

    /** Returns whether certainly no process held the lease before; an empty log may also be that of an empty copy. */
    private boolean wasNeverHeld(ConditionalLog.Tail tail) {
        boolean neverRestored = epoch.newest() == 0 || options.firstStart() && rises == 0 && epoch.newest() == 1;
        return tail.end() == 0 && neverRestored;
    }

    private boolean isCandidate() {
        return options.place().getAsInt() < terms.candidates();
    }

    private int distanceFactor() {
        return isCandidate() ? 1 : DISTANT_FACTOR;
    }

    /** Returns the part of a delay that differs from process to process, so that they do not call at once. */
    private long spreadMillis() {
        return Math.floorMod(holder.hashCode(), (long) (SPREAD_SHARE * terms.readMillis()));
    }

    private long retryMillis() {
        return Math.min(MAX_RETRY_DELAY_MILLIS, terms.readMillis()) + spreadMillis();
    }

    /** Claims the lease behind the given number of skipped offsets, to act on it only after the given delay. */
    private void claim(long waitMillis, int skipped) {
        Deadline actFrom = Deadline.afterMillis(ticker.nanos(), waitMillis);
        List<byte[]> contents = new ArrayList<>(Collections.nCopies(skipped, LeaseRecord.SKIPPED));
        contents.add(LeaseRecord.renewal(holder, epoch.newest()).encode());
        LeaseAppend begin = beginAppend();
        leaseLog.appendAt(endOffset, contents).whenComplete((offset, failure) -> {
            if (!isCurrent(begin)) {
                return;
            }
            if (failure == null && offset.isPresent()) {
                recordClaimed(offset.getAsLong(), actFrom, begin);
            } else {
                recheckClaim(actFrom, begin);
            }
        });
    }

    /** Finds out whether a claim took effect that got no answer, or that another record preceded. */
    private void recheckClaim(Deadline actFrom, LeaseAppend begin) {
        leaseLog.read(endOffset, 0).whenComplete((tail, failure) -> {
            if (!isCurrent(begin)) {
                return;
            }
            if (failure == null && tail.end() > endOffset && areOwn(tail)) {
                recordClaimed(tail.end() - 1, actFrom, begin);
                return;
            }
            claimAt = Deadline.afterMillis(ticker.nanos(), distanceFactor() * terms.termMillis());
            schedule(retryMillis(), this::watch);
        });
    }

    private void recordClaimed(long offset, Deadline actFrom, LeaseAppend begin) {
        fencingToken = offset + 1;
        term = HolderTerm.NONE.startingAt(actFrom);
        Event.named("lease_taken").with("number", fencingToken).log(log, Level.INFO);
        recordAppended(offset, begin);
        schedule(terms.renewMillis(), this::renew);
    }

    /** Returns the number of offsets that a claim skips, so that its own is higher than any that was lost. */
    private int skippedOffsets() {
        long lastEpoch = lastRecord == null ? 0 : lastRecord.epoch();
        long epochs = Math.max(0, epoch.newest() - lastEpoch);
        return (int) Math.min(MAX_SKIPPED, SKIPPED_PER_EPOCH * Math.min(MAX_SKIPPED, epochs));
    }

    /** Renews the lease, unless a fact is being stated, which renews it too. */
    private void renew() {
        if (!stopped && fencingToken >= 0 && !appending) {
            appendNext();
        }
    }

    /** Appends a renewal, with the oldest fact to state if there is one. */
    private void appendNext() {
        appending = true;
        append(beginAppend());
    }

    private LeaseAppend beginAppend() {
        return new LeaseAppend(ticker.nanos(), wallMillis.getAsLong(), rises, fencingToken);
    }

    /** Returns whether this process still holds the lease under the token of an append. */
    private boolean isCurrent(LeaseAppend append) {
        return !stopped && append.epochs() == rises && append.token() == fencingToken;
    }

    private void append(LeaseAppend begin) {
        Optional<String> fact = pendingFacts.oldest();
        LeaseRecord record = fact.map(text -> LeaseRecord.stating(holder, epoch.newest(), text))
                .orElse(LeaseRecord.renewal(holder, epoch.newest()));
        leaseLog.appendAt(endOffset, List.of(record.encode())).whenComplete((offset, failure) -> {
            if (!isCurrent(begin)) {
                return;
            }
            if (failure == null && offset.isPresent()) {
                recordAppended(offset.getAsLong(), begin);
                fact.ifPresent(this::recordStated);
                continueHolding();
            } else {
                recheck(begin);
            }
        });
    }

    /**
     * Finds out whether a renewal took effect that got no answer, or that a record preceded: the lease is kept while no
     * other process has written a record, and the append is repeated if it has had no effect.
     */
    private void recheck(LeaseAppend begin) {
        leaseLog.read(endOffset, 0).whenComplete((tail, failure) -> {
            if (!isCurrent(begin)) {
                return;
            }
            if (failure != null) {
                schedule(RECHECK_DELAY_MILLIS, () -> {
                    if (isCurrent(begin)) {
                        recheck(begin);
                    }
                });
            } else if (tail.end() <= endOffset) {
                append(beginAppend());
            } else if (areOwn(tail)) {
                applyOwn(tail, begin);
            } else {
                loseLease("another record came first");
            }
        });
    }

    /** Returns whether all records were written by this process in this epoch, but for skipped offsets. */
    private boolean areOwn(ConditionalLog.Tail tail) {
        return tail.records().size() == tail.end() - endOffset
                && tail.records().stream()
                        .filter(content -> !Arrays.equals(content, LeaseRecord.SKIPPED))
                        .map(LeaseRecord::decode)
                        .allMatch(record -> record.author().equals(holder) && record.epoch() == epoch.newest());
    }

    /** Records appends of this process that took effect without an answer. */
    private void applyOwn(ConditionalLog.Tail tail, LeaseAppend begin) {
        tail.records().stream()
                .flatMap(content -> LeaseRecord.decode(content).fact().stream())
                .forEach(this::recordStated);
        recordAppended(tail.end() - 1, begin);
        continueHolding();
    }

    private void recordStated(String fact) {
        options.onFact().accept(fact);
        pendingFacts.confirm(fact);
    }

    /** Records that a record of this process is the last of the log, which extends its term. */
    private void recordAppended(long offset, LeaseAppend begin) {
        endOffset = offset + 1;
        lastRecord = LeaseRecord.renewal(holder, epoch.newest());
        term = term.extended(begin, terms.activeMillis());
    }

    /** States the next fact, or waits until the next renewal is due. */
    private void continueHolding() {
        appending = false;
        if (pendingFacts.oldest().isPresent()) {
            appendNext();
        } else {
            schedule(terms.renewMillis(), this::renew);
        }
    }

    /** Stops acting as holder and watches the lease again. */
    private void loseLease(String why) {
        recordLoss(why);
        claimAt = Deadline.afterMillis(ticker.nanos(), distanceFactor() * terms.termMillis());
        schedule(retryMillis(), this::watch);
    }

    private void recordLoss(String why) {
        if (fencingToken >= 0) {
            Event.named("lease_lost")
                    .with("number", fencingToken)
                    .with("why", why)
                    .log(log, Level.INFO);
        }
        fencingToken = -1;
        appending = false;
        pendingFacts.failAll();
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
