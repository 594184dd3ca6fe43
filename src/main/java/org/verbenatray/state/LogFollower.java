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
 * Keeps a {@link SharedFold} up to date by polling the log, and accepts records and snapshots that peers forward. When
 * the log has dropped records that the fold needs, it searches the log for a snapshot.
 *
 * <p>Thread-safe. Listeners are called one at a time, in the order of the offsets, without a lock of the follower.
 */
public final class LogFollower {
    private final SharedFold fold;
    private final LogService log;
    private final FollowerSettings settings;
    private final Timing timing;

    private final List<Consumer<AppliedRecord>> appliedListeners = new CopyOnWriteArrayList<>();

    /** Called with the new position after a snapshot was restored. */
    private final List<LongConsumer> restoreListeners = new CopyOnWriteArrayList<>();

    private final SerialNotifier notifier = new SerialNotifier();
    private boolean running;

    /** Whether a read is in progress. */
    private boolean reading;

    /** Whether another read was requested during the one in progress. */
    private boolean readAgain;

    /** The id of the last read; responses to earlier reads are ignored. */
    private long readId;

    /** The id of the last scheduled read; earlier schedules are ignored. */
    private long scheduleId;

    private int consecutiveFailures;

    /** The search for a snapshot, if one is in progress. */
    private Optional<SnapshotSearch> search = Optional.empty();

    /** The time at which the last successful read was sent, in nanoseconds of the ticker. */
    private Optional<Long> lastReadNanos = Optional.empty();

    private Optional<Throwable> lastReadFailure = Optional.empty();

    /** The oldest offset in the log at the last successful read. */
    private long firstRetained;

    /** The offset after the newest record at the last successful read. */
    private long logEnd;

    private LogFollower(SharedFold fold, LogService log, FollowerSettings settings, Timing timing) {
        this.fold = fold;
        this.log = log;
        this.settings = settings;
        this.timing = timing;
    }

    /** Returns a follower that does not read before {@link #start()}. */
    public static LogFollower create(SharedFold fold, LogService log, FollowerSettings settings, Timing timing) {
        return new LogFollower(fold, log, settings, timing);
    }

    /** Adds a listener for every record applied from now on. */
    public void onApplied(Consumer<AppliedRecord> listener) {
        appliedListeners.add(listener);
    }

    /** Adds a listener that receives the new position after a snapshot was restored and records were skipped. */
    public void onSnapshotRestored(LongConsumer listener) {
        restoreListeners.add(listener);
    }

    /** Starts polling the log. */
    public synchronized void start() {
        running = true;
        scheduleRead(0);
    }

    /** Stops polling the log; records and snapshots from peers are still accepted. */
    public synchronized void stop() {
        running = false;
    }

    /** Schedules a read at once, or right after the one in progress. */
    public synchronized void requestRead() {
        if (reading) {
            readAgain = true;
        } else {
            scheduleRead(0);
        }
    }

    /** Applies the records of a peer that continue the fold without a gap; returns the number of applied records. */
    public int offerRecords(List<StoredRecord> records) {
        int applied = applyContiguous(records);
        notifier.drain();
        return applied;
    }

    /**
     * Restores the snapshot of a peer if it is ahead of the fold; returns whether it was restored.
     *
     * @throws SnapshotInvalidException if the snapshot is damaged or incomplete
     */
    public boolean offerSnapshot(Snapshot snapshot) {
        boolean restored = restoreSnapshot(snapshot);
        notifier.drain();
        return restored;
    }

    /** Returns the time at which the last successful read was sent, in nanoseconds of the ticker. */
    public synchronized Optional<Long> lastReadNanos() {
        return lastReadNanos;
    }

    /** Returns whether the last successful read was sent less than the given number of milliseconds ago. */
    public synchronized boolean isFresh(long maxAgeMillis) {
        return lastReadNanos
                .map(at -> !timing.hasPassed(Deadline.afterMillis(at, maxAgeMillis)))
                .orElse(false);
    }

    /** Returns whether the fold has reached the end of the log as of the last successful read. */
    public synchronized boolean isCaughtUp() {
        return lastReadNanos.isPresent() && search.isEmpty() && fold.position() >= logEnd;
    }

    /** Returns the failure of the last read; empty if it succeeded. */
    public synchronized Optional<Throwable> lastReadFailure() {
        return lastReadFailure;
    }

    /** Returns the oldest offset in the log at the last successful read. */
    public synchronized long firstRetained() {
        return firstRetained;
    }

    /** Returns the number of listener calls that threw an exception. */
    public long listenerFailures() {
        return notifier.failures();
    }

    /** Schedules the next read, which replaces a scheduled one. */
    private synchronized void scheduleRead(long delayMillis) {
        if (!running) {
            return;
        }
        scheduleId++;
        long id = scheduleId;
        timing.scheduler().runAt(timing.deadlineAfterMillis(delayMillis), () -> read(id));
    }

    /** Sends a scheduled read unless it was replaced. */
    private void read(long scheduled) {
        long id;
        long from;
        synchronized (this) {
            if (!running || reading || scheduled != scheduleId) {
                return;
            }
            reading = true;
            readAgain = false;
            readId++;
            id = readId;
            from = search.map(SnapshotSearch::cursor).orElseGet(fold::position);
        }
        long sentNanos = timing.ticker().nanos();
        timing.scheduler().runAt(timing.deadlineAfterMillis(settings.readTimeoutMillis()), () -> timeOut(id));
        sendRead(from).whenComplete((page, error) -> finishRead(id, sentNanos, page, error));
    }

    /** Reads a page; an exception of the client becomes a failed future. */
    private CompletableFuture<LogPage> sendRead(long from) {
        try {
            return log.read(from, settings.pageRecords());
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Fails a read that is still in progress at its timeout. */
    private void timeOut(long id) {
        finishRead(id, 0, null, new LogUnavailableException("a read timed out; it is retried", null));
    }

    /** Processes the response of a read and schedules the next read. */
    private void finishRead(long id, long sentNanos, LogPage page, Throwable error) {
        synchronized (this) {
            if (!reading || id != readId) {
                return;
            }
            Optional<Throwable> failed = Optional.ofNullable(error).or(() -> processPage(page, sentNanos));
            reading = false;
            lastReadFailure = failed;
            consecutiveFailures = failed.isPresent() ? consecutiveFailures + 1 : 0;
            scheduleRead(nextDelayMillis());
        }
        notifier.drain();
    }

    /** Returns the delay before the next read, in milliseconds. */
    private long nextDelayMillis() {
        if (consecutiveFailures > 0) {
            return settings.backoffMillis(consecutiveFailures);
        }
        boolean more = readAgain || search.isPresent() || fold.position() < logEnd;
        return more ? 0 : settings.pollMillis();
    }

    /** Applies a page or passes it to the search for a snapshot; returns the failure, if any. */
    private Optional<Throwable> processPage(LogPage page, long sentNanos) {
        lastReadNanos = Optional.of(sentNanos);
        firstRetained = page.firstRetained();
        logEnd = page.next();
        try {
            if (search.isPresent()) {
                return continueSearch(search.get(), page);
            }
            if (page.firstRetained() > fold.position()) {
                search = Optional.of(SnapshotSearch.backwardFrom(page.next(), fold::canRestore));
                return Optional.empty();
            }
            applyPage(page.records());
            return Optional.empty();
        } catch (RuntimeException e) {
            search = Optional.empty();
            return Optional.of(e);
        }
    }

    /** Passes a page to the search for a snapshot and restores the snapshot once found; returns the failure, if any. */
    private Optional<Throwable> continueSearch(SnapshotSearch current, LogPage page) {
        Step step = current.processPage(page);
        if (step == Step.CONTINUE) {
            return Optional.empty();
        }
        search = Optional.empty();
        if (step == Step.NOT_FOUND) {
            return Optional.of(new HistoryLostException(fold.position(), page.firstRetained()));
        }
        current.found().ifPresent(this::restoreSnapshot);
        return Optional.empty();
    }

    /** Applies the new records of a page; throws an {@link OffsetOrderException} if there is a gap. */
    private void applyPage(List<StoredRecord> records) {
        applyContiguous(records);
        for (StoredRecord stored : records) {
            if (stored.offset() >= fold.position()) {
                throw new OffsetOrderException(fold.position(), stored.offset());
            }
        }
    }

    /** Applies records up to the first gap, skips those already applied; returns the number of applied records. */
    private synchronized int applyContiguous(List<StoredRecord> records) {
        int applied = 0;
        for (StoredRecord stored : records) {
            if (stored.offset() > fold.position()) {
                return applied;
            }
            if (stored.offset() == fold.position()) {
                notifyApplied(fold.apply(stored));
                applied++;
            }
        }
        return applied;
    }

    /** Restores a snapshot if it is ahead of the fold and queues the notifications. */
    private synchronized boolean restoreSnapshot(Snapshot snapshot) {
        boolean restored = fold.restore(snapshot);
        if (restored) {
            search = Optional.empty();
            restoreListeners.forEach(listener -> notifier.add(() -> listener.accept(snapshot.upTo())));
        }
        return restored;
    }

    /** Queues the notifications for one applied record. */
    private void notifyApplied(AppliedRecord applied) {
        appliedListeners.forEach(listener -> notifier.add(() -> listener.accept(applied)));
    }
}
