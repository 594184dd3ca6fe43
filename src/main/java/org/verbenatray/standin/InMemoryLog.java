package org.verbenatray.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.verbenatray.log.LogPage;
import org.verbenatray.log.LogRecord;
import org.verbenatray.log.LogService;
import org.verbenatray.log.LogUnavailableException;
import org.verbenatray.log.StoredRecord;
import org.verbenatray.time.Ticker;

/**
 * An in-memory log service with retention, a rate limit and fault injection. Safe for concurrent use. Futures are
 * completed outside the lock.
 */
public final class InMemoryLog implements LogService {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Ticker ticker;

    /** The rate limit in append calls per second; infinite for none. */
    private final double appendsPerSecond;

    private final List<StoredRecord> retained = new ArrayList<>();

    /** The faults of the next append calls, consumed in order. */
    private final Deque<AppendFault> appendFaults = new ArrayDeque<>();

    /** The calls that are held until {@link #releaseHeldCalls()}. */
    private final Deque<Runnable> heldCalls = new ArrayDeque<>();

    /** The offset that the next record gets. */
    private long nextOffset;

    /** The number of append calls that the rate limit allows at {@link #availableAppendsAtNanos}. */
    private double availableAppends;

    /** The time in nanoseconds at which {@link #availableAppends} was computed. */
    private long availableAppendsAtNanos;

    /** Whether every call fails without taking effect. */
    private boolean unavailable;

    /** Whether reads are held until {@link #releaseHeldCalls()}. */
    private boolean readsHeld;

    /** The number of append calls that took effect. */
    private long appendCalls;

    private InMemoryLog(Ticker ticker, double appendsPerSecond) {
        this.ticker = ticker;
        this.appendsPerSecond = appendsPerSecond;
        this.availableAppends = appendsPerSecond;
        this.availableAppendsAtNanos = ticker.nanos();
    }

    /** Returns an empty log without rate limit. */
    public static InMemoryLog create() {
        return new InMemoryLog(() -> 0, Double.POSITIVE_INFINITY);
    }

    /**
     * Returns an empty log that rejects append calls above the given rate. The burst size is one second's worth of
     * calls.
     */
    public static InMemoryLog withRateLimit(Ticker ticker, double appendsPerSecond) {
        return new InMemoryLog(ticker, appendsPerSecond);
    }

    @Override
    public CompletableFuture<Long> append(List<LogRecord> records) {
        CompletableFuture<Long> result = new CompletableFuture<>();
        prepareAppend(List.copyOf(records), result).run();
        return result;
    }

    /**
     * Applies the next fault to an append call under the lock and returns the action that the caller must run outside
     * the lock.
     */
    private synchronized Runnable prepareAppend(List<LogRecord> records, CompletableFuture<Long> result) {
        if (unavailable) {
            return () -> fail(result, "the log service is unavailable; try again later");
        }
        if (!tryConsumeAppend()) {
            return () -> fail(result, "the append rate limit is reached; send fewer, larger batches");
        }
        AppendFault fault = appendFaults.isEmpty() ? AppendFault.NONE : appendFaults.poll();
        switch (fault) {
            case REFUSED:
                return () -> fail(result, "the append was rejected; try again later");
            case ANSWER_LOST:
                store(records);
                return () -> fail(result, "the response was lost; look for the record's id in the log");
            case EFFECT_LATE:
                heldCalls.add(() -> lockAndStore(records));
                return () -> fail(result, "the response was lost; look for the record's id in the log");
            case HELD:
                heldCalls.add(() -> result.complete(lockAndStore(records)));
                return () -> {};
            default:
                long first = store(records);
                return () -> result.complete(first);
        }
    }

    /** Consumes one append call from the rate limit. Returns false if the limit is reached. */
    private boolean tryConsumeAppend() {
        if (Double.isInfinite(appendsPerSecond)) {
            return true;
        }
        long now = ticker.nanos();
        double earned = (now - availableAppendsAtNanos) / NANOS_PER_SECOND * appendsPerSecond;
        availableAppends = Math.min(appendsPerSecond, availableAppends + earned);
        availableAppendsAtNanos = now;
        if (availableAppends < 1) {
            return false;
        }
        availableAppends--;
        return true;
    }

    /** Acquires the lock and stores records. */
    private synchronized long lockAndStore(List<LogRecord> records) {
        return store(records);
    }

    /** Stores records and returns the offset of the first. The caller must hold the lock. */
    private long store(List<LogRecord> records) {
        long first = nextOffset;
        for (LogRecord record : records) {
            retained.add(new StoredRecord(nextOffset, record));
            nextOffset++;
        }
        appendCalls++;
        return first;
    }

    private static void fail(CompletableFuture<?> result, String message) {
        result.completeExceptionally(new LogUnavailableException(message, null));
    }

    @Override
    public CompletableFuture<LogPage> read(long from, int limit) {
        CompletableFuture<LogPage> result = new CompletableFuture<>();
        prepareRead(from, limit, result).run();
        return result;
    }

    /** Prepares a read under the lock and returns the action that the caller must run outside the lock. */
    private synchronized Runnable prepareRead(long from, int limit, CompletableFuture<LogPage> result) {
        if (unavailable) {
            return () -> fail(result, "the log service is unavailable; try again later");
        }
        if (readsHeld) {
            heldCalls.add(() -> result.complete(page(from, limit)));
            return () -> {};
        }
        LogPage page = page(from, limit);
        return () -> result.complete(page);
    }

    private synchronized LogPage page(long from, int limit) {
        long firstRetained = firstRetainedOffset();
        long skipped = Math.max(0, from - firstRetained);
        List<StoredRecord> records =
                retained.stream().skip(skipped).limit(limit).toList();
        return new LogPage(firstRetained, nextOffset, records);
    }

    /** Returns the oldest retained offset; the next offset if nothing is retained. */
    public synchronized long firstRetainedOffset() {
        return nextOffset - retained.size();
    }

    /** Returns the offset that the next record gets. */
    public synchronized long nextOffset() {
        return nextOffset;
    }

    /** Returns the number of append calls that took effect. */
    public synchronized long appendCalls() {
        return appendCalls;
    }

    /** Returns a copy of the retained records. */
    public synchronized List<StoredRecord> records() {
        return new ArrayList<>(retained);
    }

    /** Removes the records before an offset, as retention does. */
    public synchronized void dropBefore(long offset) {
        long dropped = Math.max(0, offset - firstRetainedOffset());
        retained.subList(0, (int) Math.min(retained.size(), dropped)).clear();
    }

    /** Sets whether every call fails without taking effect. */
    public synchronized void setUnavailable(boolean unavailable) {
        this.unavailable = unavailable;
    }

    /** Sets whether reads are held until {@link #releaseHeldCalls()}. */
    public synchronized void setReadsHeld(boolean readsHeld) {
        this.readsHeld = readsHeld;
    }

    /** Queues faults for the next append calls, one per call. */
    public synchronized void injectAppendFaults(AppendFault... faults) {
        appendFaults.addAll(List.of(faults));
    }

    /** Removes the queued append faults that no call has consumed yet. */
    public synchronized void clearAppendFaults() {
        appendFaults.clear();
    }

    /** Executes the held calls in order of arrival and returns their number. */
    public int releaseHeldCalls() {
        List<Runnable> released = removeHeldCalls();
        released.forEach(Runnable::run);
        return released.size();
    }

    private synchronized List<Runnable> removeHeldCalls() {
        List<Runnable> released = new ArrayList<>(heldCalls);
        heldCalls.clear();
        return released;
    }

    /** The fault applied to one append call. */
    public enum AppendFault {
        /** The call succeeds. */
        NONE,
        /** The call fails without taking effect. */
        REFUSED,
        /** The call takes effect but fails, as if its response were lost. */
        ANSWER_LOST,
        /** The call fails immediately but takes effect when the held calls are released. */
        EFFECT_LATE,
        /** The call takes effect and completes when the held calls are released. */
        HELD
    }
}
