package org.verbenatray.state;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.verbenatray.log.LogPage;
import org.verbenatray.log.LogService;
import org.verbenatray.log.LogUnavailableException;
import org.verbenatray.log.RecordBody.Snapshot;
import org.verbenatray.log.StoredRecord;
import org.verbenatray.state.SnapshotSearch.Step;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Timing;

/**
 * Keeps a {@link SharedFold} current by reading the log, and takes records and snapshots from peers.
 *
 * <p>Listeners are called one at a time in the order of the offsets and hold no lock of the follower.
 */
public final class LogFollower {
    /** The state that is kept current. */
    private final SharedFold fold;

    /** The log. */
    private final LogService log;

    /** The times and sizes of reads. */
    private final FollowerTimes times;

    /** The sources of time. */
    private final Timing timing;

    /** The listeners for applied records. */
    private final List<Consumer<AppliedRecord>> appliedListeners = new CopyOnWriteArrayList<>();

    /** The listeners for moves to a snapshot. */
    private final List<LongConsumer> leapListeners = new CopyOnWriteArrayList<>();

    /** Calls the listeners in order. */
    private final SerialNotifier notifier = new SerialNotifier();

    /** Whether the follower reads. */
    private boolean running;

    /** Whether a read is under way. */
    private boolean reading;

    /** Whether another read is wanted right after the one under way. */
    private boolean readAgain;

    /** The number of the last read; answers of earlier ones are ignored. */
    private long readNumber;

    /** The number of the last planned read; earlier plans are ignored. */
    private long planNumber;

    /** The failed reads in a row. */
    private int failures;

    /** The search for a snapshot that is under way. */
    private Optional<SnapshotSearch> search = Optional.empty();

    /** The time at which the last successful read was sent. */
    private Optional<Long> lastReadNanos = Optional.empty();

    /** The failure of the last read. */
    private Optional<Throwable> failure = Optional.empty();

    /** The oldest offset in the log at the last successful read. */
    private long firstRetained;

    /** The end of the log at the last successful read. */
    private long logEnd;

    /** Creates a follower that does not read yet. */
    private LogFollower(SharedFold fold, LogService log, FollowerTimes times, Timing timing) {
        this.fold = fold;
        this.log = log;
        this.times = times;
        this.timing = timing;
    }

    /** Returns a follower that does not read before {@link #start()}. */
    public static LogFollower create(SharedFold fold, LogService log, FollowerTimes times, Timing timing) {
        return new LogFollower(fold, log, times, timing);
    }

    /** Adds a listener for every record that is applied from now on. */
    public void onApplied(Consumer<AppliedRecord> listener) {
        appliedListeners.add(listener);
    }

    /** Adds a listener that is given the new position after records were skipped by way of a snapshot. */
    public void onLeap(LongConsumer listener) {
        leapListeners.add(listener);
    }

    /** Starts to read. */
    public synchronized void start() {
        running = true;
        planRead(0);
    }

    /** Stops to read; records from peers are still taken. */
    public synchronized void stop() {
        running = false;
    }

    /** Reads as soon as possible. */
    public synchronized void poke() {
        if (reading) {
            readAgain = true;
        } else {
            planRead(0);
        }
    }

    /** Takes the contiguous continuation among records that a peer relays; returns how many were taken. */
    public int offer(List<StoredRecord> records) {
        int taken = applyContiguous(records);
        notifier.drain();
        return taken;
    }

    /** Takes a snapshot of a peer if it lies ahead; fails with a {@link SnapshotInvalidException} if it is unsound. */
    public boolean offerSnapshot(Snapshot snapshot) {
        boolean taken = leap(snapshot);
        notifier.drain();
        return taken;
    }

    /** Returns the time at which the last successful read was sent, in nanoseconds of the ticker. */
    public synchronized Optional<Long> lastReadNanos() {
        return lastReadNanos;
    }

    /** Returns whether the last successful read is at most the given number of milliseconds old. */
    public synchronized boolean isFresh(long maxAgeMillis) {
        return lastReadNanos
                .map(at -> !timing.passed(Deadline.afterMillis(at, maxAgeMillis)))
                .orElse(false);
    }

    /** Returns whether everything that the last successful read showed has been applied. */
    public synchronized boolean isCaughtUp() {
        return lastReadNanos.isPresent() && search.isEmpty() && fold.position() >= logEnd;
    }

    /** Returns why the last read failed, empty when it succeeded. */
    public synchronized Optional<Throwable> failure() {
        return failure;
    }

    /** Returns the oldest offset in the log at the last successful read. */
    public synchronized long firstRetained() {
        return firstRetained;
    }

    /** Returns the number of listener calls that failed. */
    public long listenerFailures() {
        return notifier.failures();
    }

    /** Plans the next read and drops earlier plans. */
    private synchronized void planRead(long delayMillis) {
        if (!running) {
            return;
        }
        planNumber++;
        long plan = planNumber;
        timing.scheduler().runAt(timing.inMillis(delayMillis), () -> read(plan));
    }

    /** Sends a planned read. */
    private void read(long plan) {
        long number;
        long from;
        synchronized (this) {
            if (!running || reading || plan != planNumber) {
                return;
            }
            reading = true;
            readAgain = false;
            readNumber++;
            number = readNumber;
            from = search.map(SnapshotSearch::cursor).orElseGet(fold::position);
        }
        long sentNanos = timing.ticker().nanos();
        timing.scheduler().runAt(timing.inMillis(times.readTimeoutMillis()), () -> timeOut(number));
        sendRead(from).whenComplete((page, error) -> finishRead(number, sentNanos, page, error));
    }

    /** Reads a page; a client that throws fails the future. */
    private CompletableFuture<LogPage> sendRead(long from) {
        try {
            return log.read(from, times.pageRecords());
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Gives up a read that was not answered. */
    private void timeOut(long number) {
        finishRead(number, 0, null, new LogUnavailableException("a read was not answered; it is sent again", null));
    }

    /** Takes the answer of a read and plans the next one. */
    private void finishRead(long number, long sentNanos, LogPage page, Throwable error) {
        synchronized (this) {
            if (!reading || number != readNumber) {
                return;
            }
            Optional<Throwable> failed = Optional.ofNullable(error).or(() -> takePage(page, sentNanos));
            reading = false;
            failure = failed;
            failures = failed.isPresent() ? failures + 1 : 0;
            planRead(nextDelayMillis());
        }
        notifier.drain();
    }

    /** Returns the pause before the next read. */
    private long nextDelayMillis() {
        if (failures > 0) {
            return times.backoffMillis(failures);
        }
        boolean more = readAgain || search.isPresent() || fold.position() < logEnd;
        return more ? 0 : times.pollMillis();
    }

    /** Takes a page into the state; returns why that failed. */
    private Optional<Throwable> takePage(LogPage page, long sentNanos) {
        lastReadNanos = Optional.of(sentNanos);
        firstRetained = page.firstRetained();
        logEnd = page.next();
        try {
            if (search.isPresent()) {
                return continueSearch(search.get(), page);
            }
            if (page.firstRetained() > fold.position()) {
                search = Optional.of(SnapshotSearch.below(page.next(), fold::covers));
                return Optional.empty();
            }
            applyPage(page.records());
            return Optional.empty();
        } catch (RuntimeException e) {
            search = Optional.empty();
            return Optional.of(e);
        }
    }

    /** Goes on with the search for a snapshot. */
    private Optional<Throwable> continueSearch(SnapshotSearch current, LogPage page) {
        Step step = current.take(page);
        if (step == Step.READ_ON) {
            return Optional.empty();
        }
        search = Optional.empty();
        if (step == Step.NOTHING_LEFT) {
            return Optional.of(new HistoryLostException(fold.position(), page.firstRetained()));
        }
        current.found().ifPresent(this::leap);
        return Optional.empty();
    }

    /** Applies the new records of a page; fails with an {@link OffsetOrderException} when there is a gap. */
    private void applyPage(List<StoredRecord> records) {
        applyContiguous(records);
        for (StoredRecord stored : records) {
            if (stored.offset() >= fold.position()) {
                throw new OffsetOrderException(fold.position(), stored.offset());
            }
        }
    }

    /** Applies records as long as each is the next one. */
    private synchronized int applyContiguous(List<StoredRecord> records) {
        int taken = 0;
        for (StoredRecord stored : records) {
            if (stored.offset() > fold.position()) {
                return taken;
            }
            if (stored.offset() == fold.position()) {
                enqueue(fold.apply(stored));
                taken++;
            }
        }
        return taken;
    }

    /** Moves to a snapshot if it lies ahead. */
    private synchronized boolean leap(Snapshot snapshot) {
        boolean moved = fold.restore(snapshot);
        if (moved) {
            search = Optional.empty();
            leapListeners.forEach(listener -> notifier.add(() -> listener.accept(snapshot.upTo())));
        }
        return moved;
    }

    /** Queues the notification of one applied record. */
    private void enqueue(AppliedRecord applied) {
        appliedListeners.forEach(listener -> notifier.add(() -> listener.accept(applied)));
    }
}
