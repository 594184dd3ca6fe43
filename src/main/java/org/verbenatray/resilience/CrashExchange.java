package org.verbenatray.resilience;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.stream.Stream;
import org.verbenatray.log.KeyedLog;
import org.verbenatray.state.KeyedFollower;
import org.verbenatray.state.RetryPacer;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;

/**
 * Shares crashes among instances through a keyed log, which keeps them for instances that start later: one record per
 * crash, whose key is the suspect and the boot id. While the log lacks a crash, instances tell it one another
 * directly.
 *
 * <p>A crash that the log does not hold is written until it does: by its finder at once, by others that know it after a
 * random delay, so that few of them write. Writing a crash twice is harmless. Not thread-safe: all calls come from one
 * thread.
 */
public final class CrashExchange implements KeyedFollower.Listener {
    /** The time between two reads, in milliseconds; records of many crashes at once end few reads. */
    public static final long MIN_READ_INTERVAL_MILLIS = 500;

    /**
     * The time for which a read waits for records, in milliseconds. A read whose connection has gone silent is noticed
     * a second later, before a request that crashes servers may reach a fourth one.
     */
    public static final long READ_MILLIS = 1_000;

    private static final long FLUSH_INTERVAL_MILLIS = 100;

    private static final long RETRY_DELAY_MILLIS = 700;

    private static final long FIRST_CRASH_DELAY_MILLIS = 1_000;

    /** Delay after which an instance writes a crash that another one has found, unless that one has written it. */
    private static final long FOREIGN_DELAY_MILLIS = 1_500;

    /** The random part of a delay after which one of many instances writes or deletes a record for all. */
    private static final long RANDOM_DELAY_MILLIS = 4_000;

    /** Longest delay after which an instance deletes an expired record. */
    private static final long MAX_DELETION_DELAY_MILLIS = 30_000;

    /** The time for which a crash is told directly even if the log holds it; some datagrams are lost. */
    private static final long TELLING_MILLIS = 1_500;

    private static final int MAX_BATCH = 500;

    private static final char KEY_SEPARATOR = ' ';

    private static final byte[] PRESENT = {'1'};

    private static final Logger log = System.getLogger(CrashExchange.class.getName());

    private final KeyedLog records;
    private final CrashLedger ledger;

    /** Supplies random numbers from 0 to 1. */
    private final DoubleSupplier random;

    private final Ticker ticker;
    private final Scheduler scheduler;

    /** When each crash that the log is not known to hold is written next. */
    private final Map<Crash, Deadline> unwritten = new HashMap<>();

    /** The crashes of which a write was attempted, so that the log may hold them. */
    private final Set<Crash> attempted = new HashSet<>();

    /** Until when each crash that has become known lately is told directly. */
    private final Map<Crash, Deadline> recent = new HashMap<>();

    /** When each expired crash that the log still holds is deleted. */
    private final Map<Crash, Deadline> deletions = new HashMap<>();

    /** Follows the log, null before the start. */
    private KeyedFollower follower;

    private volatile boolean loaded;

    /** Whether the last write succeeded; limits the log to one line for consecutive failures. */
    private boolean writable = true;

    /** The time before which nothing is written, after a failed write. */
    private Deadline nextWrite = new Deadline(0);

    private CrashExchange(
            KeyedLog records, CrashLedger ledger, DoubleSupplier random, Ticker ticker, Scheduler scheduler) {
        this.records = records;
        this.ledger = ledger;
        this.random = random;
        this.ticker = ticker;
        this.scheduler = scheduler;
    }

    /** Starts to follow the records of the log, whose reads instances share, and to write those that it lacks. */
    public static CrashExchange start(
            KeyedLog records,
            CrashLedger ledger,
            DoubleSupplier random,
            RetryPacer pacer,
            KeyedFollower.ReadSharing sharing,
            Ticker ticker,
            Scheduler scheduler) {
        CrashExchange exchange = new CrashExchange(records, ledger, random, ticker, scheduler);
        exchange.follower = KeyedFollower.startShared("crashes", records, exchange, pacer, sharing, ticker, scheduler);
        exchange.flush();
        return exchange;
    }

    /** Returns the follower of the log, which takes what other instances have read. */
    public KeyedFollower follower() {
        return follower;
    }

    /** Returns whether the records of the log were read once. Callable from any thread. */
    public boolean loaded() {
        return loaded;
    }

    /**
     * Writes a crash that this instance has found, again and again until the log has it. The first crash of a request
     * is held back for a second, as most requests that lose their server are innocent and soon run elsewhere.
     */
    public void publish(Crash crash) {
        tellForSomeTime(crash);
        boolean first = ledger.crashCount(crash.suspect()) == 1;
        unwritten.put(crash, Deadline.afterMillis(ticker.nanos(), first ? FIRST_CRASH_DELAY_MILLIS : 0));
    }

    /** Takes a crash that another instance tells directly. */
    public void receive(Crash crash) {
        if (ledger.recordCrash(crash)) {
            recordHeard(crash);
            unwritten.put(crash, foreignDelay());
        }
    }

    /**
     * Returns the crashes to tell other instances directly, those of requests with most crashes first: the ones that
     * could not be written to the log, and recent ones of requests with several crashes, as some instances may not
     * reach the log.
     */
    public List<Crash> toTell() {
        long now = ticker.nanos();
        recent.values().removeIf(until -> until.hasPassed(now));
        return Stream.concat(
                        attempted.stream(),
                        recent.keySet().stream().filter(crash -> ledger.crashCount(crash.suspect()) > 1))
                .distinct()
                .sorted(Comparator.comparingInt(crash -> -ledger.crashCount(crash.suspect())))
                .toList();
    }

    /** Deletes the records of crashes that have expired, after a random delay, so that few instances do so. */
    public void onExpired(Collection<Crash> crashes) {
        crashes.forEach(crash -> delete(crash, randomDelay(MAX_DELETION_DELAY_MILLIS)));
    }

    /**
     * Deletes the records of a request that this instance has cleared. A part of prompts that many requests share is
     * cleared by all instances at the same time, so one of them deletes its records.
     */
    public void onCleared(Collection<Crash> crashes) {
        crashes.forEach(crash -> delete(
                crash,
                PartKey.isPart(crash.suspect()) ? randomDelay(RANDOM_DELAY_MILLIS) : new Deadline(ticker.nanos())));
    }

    private void delete(Crash crash, Deadline when) {
        recent.remove(crash);
        boolean neverWritten = unwritten.remove(crash) != null && !attempted.remove(crash);
        if (!neverWritten) {
            deletions.put(crash, when);
        }
    }

    @Override
    public void onListing(List<KeyedLog.Entry> entries) {
        loaded = true;
        Set<Crash> listed = new HashSet<>();
        entries.forEach(entry -> {
            onRecord(entry);
            crashOf(entry).ifPresent(listed::add);
        });
        ledger.crashes().stream()
                .filter(crash -> !listed.contains(crash))
                .forEach(crash -> unwritten.putIfAbsent(crash, foreignDelay()));
    }

    @Override
    public void onRecord(KeyedLog.Entry entry) {
        Optional<Crash> crash = crashOf(entry);
        if (crash.isEmpty()) {
            return;
        }
        recordWritten(crash.get());
        if (entry.value().isEmpty()) {
            deletions.remove(crash.get());
            ledger.forget(crash.get());
        } else if (ledger.recordCrash(crash.get())) {
            recordHeard(crash.get());
        }
    }

    /** Writes what is due in one batch, at a regular interval. */
    private void flush() {
        writeDue();
        scheduler.runAt(Deadline.afterMillis(ticker.nanos(), FLUSH_INTERVAL_MILLIS), this::flush);
    }

    private void writeDue() {
        if (!nextWrite.hasPassed(ticker.nanos())) {
            return;
        }
        List<Crash> toWrite = takeDue(unwritten);
        attempted.addAll(toWrite);
        List<Crash> toDelete = takeDue(deletions);
        if (toWrite.isEmpty() && toDelete.isEmpty()) {
            return;
        }
        List<KeyedLog.Entry> entries = Stream.concat(
                        toWrite.stream().map(crash -> new KeyedLog.Entry(keyOf(crash), Optional.of(PRESENT))),
                        toDelete.stream().map(crash -> new KeyedLog.Entry(keyOf(crash), Optional.empty())))
                .toList();
        records.putAll(entries).whenComplete((done, failure) -> {
            if (failure == null) {
                toWrite.forEach(this::recordWritten);
                toDelete.forEach(deletions::remove);
            } else if (writable) {
                Event.named("crash_not_written")
                        .with("crashes", toWrite.size())
                        .with("why", failure.getMessage())
                        .log(log, Level.WARNING);
            }
            writable = failure == null;
            nextWrite = Deadline.afterMillis(ticker.nanos(), writable ? 0 : RETRY_DELAY_MILLIS);
        });
    }

    /** Returns the crashes that are due, at most one batch, and postpones them in case that this attempt fails. */
    private List<Crash> takeDue(Map<Crash, Deadline> pending) {
        long now = ticker.nanos();
        List<Crash> due = pending.entrySet().stream()
                .filter(each -> each.getValue().hasPassed(now))
                .map(Map.Entry::getKey)
                .limit(MAX_BATCH)
                .toList();
        due.forEach(crash -> pending.put(crash, Deadline.afterMillis(now, RETRY_DELAY_MILLIS)));
        return due;
    }

    private void recordHeard(Crash crash) {
        tellForSomeTime(crash);
        CrashEvents.describe("crash_heard", crash, ledger).log(log, Level.INFO);
    }

    private void recordWritten(Crash crash) {
        unwritten.remove(crash);
        attempted.remove(crash);
    }

    private void tellForSomeTime(Crash crash) {
        recent.put(crash, Deadline.afterMillis(ticker.nanos(), TELLING_MILLIS));
    }

    private Deadline foreignDelay() {
        return Deadline.afterMillis(
                ticker.nanos(), FOREIGN_DELAY_MILLIS + (long) (random.getAsDouble() * RANDOM_DELAY_MILLIS));
    }

    private Deadline randomDelay(long maxMillis) {
        return Deadline.afterMillis(ticker.nanos(), (long) (random.getAsDouble() * maxMillis));
    }

    private static String keyOf(Crash crash) {
        return crash.suspect() + KEY_SEPARATOR + crash.boot();
    }

    /** Returns the crash that a record names; empty, with a log line, if its key is malformed. */
    private static Optional<Crash> crashOf(KeyedLog.Entry entry) {
        int separator = entry.key().indexOf(KEY_SEPARATOR);
        if (separator < 0) {
            Event.named("crash_record_malformed").with("key", entry.key()).log(log, Level.WARNING);
            return Optional.empty();
        }
        return Optional.of(
                new Crash(entry.key().substring(0, separator), entry.key().substring(separator + 1)));
    }
}
