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

/** A log service in memory with retention, a rate limit and injected faults; safe for concurrent use. */
public final class InMemoryLog implements LogService {
    /** Nanoseconds in one second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** The source of time of the rate limit. */
    private final Ticker ticker;

    /** The largest number of append calls per second. */
    private final double appendsPerSecond;

    /** The retained records. */
    private final List<StoredRecord> retained = new ArrayList<>();

    /** The faults of the coming append calls, consumed in order. */
    private final Deque<AppendFault> appendFaults = new ArrayDeque<>();

    /** The actions that wait for {@link #releaseHeld()}. */
    private final Deque<Runnable> held = new ArrayDeque<>();

    /** The offset of the next record. */
    private long next;

    /** The appends that the rate limit allows now. */
    private double tokens;

    /** The time at which {@link #tokens} was computed. */
    private long tokensAtNanos;

    /** Whether every call fails without an effect. */
    private boolean unavailable;

    /** Whether reads wait for {@link #releaseHeld()}. */
    private boolean readsHeld;

    /** The append calls that took effect. */
    private long appendCalls;

    /** Creates an empty log. */
    private InMemoryLog(Ticker ticker, double appendsPerSecond) {
        this.ticker = ticker;
        this.appendsPerSecond = appendsPerSecond;
        this.tokens = appendsPerSecond;
        this.tokensAtNanos = ticker.nanos();
    }

    /** Returns an empty log without a rate limit. */
    public static InMemoryLog create() {
        return new InMemoryLog(() -> 0, Double.POSITIVE_INFINITY);
    }

    /** Returns an empty log that refuses append calls above the given rate, with a burst of one second. */
    public static InMemoryLog withRateLimit(Ticker ticker, double appendsPerSecond) {
        return new InMemoryLog(ticker, appendsPerSecond);
    }

    @Override
    public CompletableFuture<Long> append(List<LogRecord> records) {
        CompletableFuture<Long> answer = new CompletableFuture<>();
        appendAction(List.copyOf(records), answer).run();
        return answer;
    }

    /** Decides the fate of one append call and returns what is to be done outside the lock. */
    private synchronized Runnable appendAction(List<LogRecord> records, CompletableFuture<Long> answer) {
        if (unavailable) {
            return () -> fail(answer, "the log service is unavailable; try again later");
        }
        if (!takeToken()) {
            return () -> fail(answer, "the append rate limit is reached; send fewer, larger batches");
        }
        AppendFault fault = appendFaults.isEmpty() ? AppendFault.NONE : appendFaults.poll();
        switch (fault) {
            case REFUSED:
                return () -> fail(answer, "the append was refused; try again later");
            case ANSWER_LOST:
                store(records);
                return () -> fail(answer, "the answer was lost; look for the record's id in the log");
            case EFFECT_LATE:
                held.add(() -> storeLater(records));
                return () -> fail(answer, "the answer was lost; look for the record's id in the log");
            case HELD:
                held.add(() -> answer.complete(storeLater(records)));
                return () -> {};
            default:
                long first = store(records);
                return () -> answer.complete(first);
        }
    }

    /** Takes one append from the rate limit if there is one. */
    private boolean takeToken() {
        if (Double.isInfinite(appendsPerSecond)) {
            return true;
        }
        long now = ticker.nanos();
        double earned = (now - tokensAtNanos) / NANOS_PER_SECOND * appendsPerSecond;
        tokens = Math.min(appendsPerSecond, tokens + earned);
        tokensAtNanos = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Stores records under the lock. */
    private synchronized long storeLater(List<LogRecord> records) {
        return store(records);
    }

    /** Stores records; the caller holds the lock. */
    private long store(List<LogRecord> records) {
        long first = next;
        for (LogRecord record : records) {
            retained.add(new StoredRecord(next, record));
            next++;
        }
        appendCalls++;
        return first;
    }

    /** Fails an answer. */
    private static void fail(CompletableFuture<?> answer, String message) {
        answer.completeExceptionally(new LogUnavailableException(message, null));
    }

    @Override
    public CompletableFuture<LogPage> read(long from, int limit) {
        CompletableFuture<LogPage> answer = new CompletableFuture<>();
        readAction(from, limit, answer).run();
        return answer;
    }

    /** Decides the fate of one read and returns what is to be done outside the lock. */
    private synchronized Runnable readAction(long from, int limit, CompletableFuture<LogPage> answer) {
        if (unavailable) {
            return () -> fail(answer, "the log service is unavailable; try again later");
        }
        if (readsHeld) {
            held.add(() -> answer.complete(page(from, limit)));
            return () -> {};
        }
        LogPage page = page(from, limit);
        return () -> answer.complete(page);
    }

    /** Returns one page. */
    private synchronized LogPage page(long from, int limit) {
        long firstRetained = firstRetained();
        long skipped = Math.max(0, from - firstRetained);
        List<StoredRecord> records =
                retained.stream().skip(skipped).limit(limit).toList();
        return new LogPage(firstRetained, next, records);
    }

    /** Returns the oldest retained offset, which is the next offset when nothing is retained. */
    public synchronized long firstRetained() {
        return next - retained.size();
    }

    /** Returns the offset of the next record. */
    public synchronized long next() {
        return next;
    }

    /** Returns the number of append calls that took effect. */
    public synchronized long appendCalls() {
        return appendCalls;
    }

    /** Returns a copy of the retained records. */
    public synchronized List<StoredRecord> records() {
        return new ArrayList<>(retained);
    }

    /** Drops the records before an offset. */
    public synchronized void dropBefore(long offset) {
        long dropped = Math.max(0, offset - firstRetained());
        retained.subList(0, (int) Math.min(retained.size(), dropped)).clear();
    }

    /** Sets whether every call fails without an effect. */
    public synchronized void setUnavailable(boolean unavailable) {
        this.unavailable = unavailable;
    }

    /** Sets whether reads wait for {@link #releaseHeld()}. */
    public synchronized void setReadsHeld(boolean readsHeld) {
        this.readsHeld = readsHeld;
    }

    /** Adds the faults of the coming append calls. */
    public synchronized void injectAppendFaults(AppendFault... faults) {
        appendFaults.addAll(List.of(faults));
    }

    /** Forgets the injected append faults that no call has met yet. */
    public synchronized void clearAppendFaults() {
        appendFaults.clear();
    }

    /** Lets the held calls take effect in the order in which they came; returns how many there were. */
    public int releaseHeld() {
        List<Runnable> released = takeHeld();
        released.forEach(Runnable::run);
        return released.size();
    }

    /** Removes and returns the held calls. */
    private synchronized List<Runnable> takeHeld() {
        List<Runnable> released = new ArrayList<>(held);
        held.clear();
        return released;
    }

    /** What happens to one append call. */
    public enum AppendFault {
        /** The call succeeds. */
        NONE,
        /** The call fails without an effect. */
        REFUSED,
        /** The call takes effect and its answer is lost. */
        ANSWER_LOST,
        /** The call fails at once and takes effect when the held calls are released. */
        EFFECT_LATE,
        /** The call takes effect and is answered when the held calls are released. */
        HELD
    }
}
