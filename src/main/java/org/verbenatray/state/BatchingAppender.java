package org.verbenatray.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import org.verbenatray.log.Appender;
import org.verbenatray.log.LogRecord;
import org.verbenatray.log.LogService;
import org.verbenatray.log.LogUnavailableException;
import org.verbenatray.log.NotAppendedException;
import org.verbenatray.log.RecordBody;
import org.verbenatray.log.Verdict;
import org.verbenatray.log.Verdict.Kind;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Timing;

/**
 * Appends records in batches, limits the rate of append calls and completes each submission with the verdict of this
 * instance's {@link SharedFold}.
 *
 * <p>A record is sent to the log service at most once, even if the append call fails or times out. Its submission waits
 * in any case until the follower applies a record with its id, so a lost response is harmless.
 *
 * <p>Thread-safe. Timeouts and retries run on the scheduler.
 */
public final class BatchingAppender implements Appender {
    private final String author;
    private final LogService log;
    private final LogFollower follower;
    private final SharedFold fold;
    private final AppenderLimits limits;

    /** Returns the number of live instances, which share {@link AppenderLimits#fleetCallsPerSecond}. */
    private final IntSupplier liveInstances;

    private final Timing timing;

    /** The submissions that were not sent yet. */
    private final ArrayDeque<Submission> queue = new ArrayDeque<>();

    /** The submissions that were sent and wait for their verdict, by record id. */
    private final Map<String, Submission> sent = new HashMap<>();

    private final AppendRateLimiter rateLimiter;

    /** The number of append calls without a response. */
    private int callsInFlight;

    /** The number of consecutive failed append calls. */
    private int consecutiveFailures;

    /** The end of the back-off after a failed append call. */
    private Deadline pausedUntil;

    /** The time of the next scheduled flush. */
    private Optional<Deadline> scheduledFlush = Optional.empty();

    private BatchingAppender(
            String author,
            LogService log,
            LogFollower follower,
            SharedFold fold,
            AppenderLimits limits,
            IntSupplier liveInstances,
            Timing timing) {
        this.author = author;
        this.log = log;
        this.follower = follower;
        this.fold = fold;
        this.limits = limits;
        this.liveInstances = liveInstances;
        this.timing = timing;
        this.rateLimiter = new AppendRateLimiter(timing.ticker().nanos());
        this.pausedUntil = new Deadline(timing.ticker().nanos());
    }

    /** Returns an appender that receives verdicts through a listener of the follower. */
    public static BatchingAppender create(
            String author,
            LogService log,
            LogFollower follower,
            SharedFold fold,
            AppenderLimits limits,
            IntSupplier liveInstances,
            Timing timing) {
        BatchingAppender appender = new BatchingAppender(author, log, follower, fold, limits, liveInstances, timing);
        follower.onApplied(appender::completeSubmission);
        return appender;
    }

    @Override
    public CompletableFuture<Verdict> submit(RecordBody body, Optional<Long> follows, Deadline deadline) {
        LogRecord record = LogRecord.create(author, timing.clock().millis(), follows, body);
        Submission submission = new Submission(record, deadline, new CompletableFuture<>());
        Optional<String> rejection = enqueue(submission);
        if (rejection.isPresent()) {
            return CompletableFuture.failedFuture(new NotAppendedException(rejection.get()));
        }
        timing.scheduler().runAt(deadline, () -> expire(submission));
        return submission.verdict();
    }

    /** Returns false during the back-off after a failed append call, and true otherwise. */
    public synchronized boolean isSending() {
        return timing.hasPassed(pausedUntil);
    }

    /** Returns the number of records that are queued or wait for their verdict. */
    public synchronized int pendingRecords() {
        return queue.size() + sent.size();
    }

    /** Queues a submission; returns the reason if it is rejected. */
    private synchronized Optional<String> enqueue(Submission submission) {
        if (timing.hasPassed(submission.deadline())) {
            return Optional.of("the deadline had passed; submit with a later one");
        }
        if (pendingRecords() >= limits.maxPendingRecords()) {
            return Optional.of("too many records wait for the log; submit again later");
        }
        queue.add(submission);
        scheduleFlush(new Deadline(timing.ticker().nanos()));
        return Optional.empty();
    }

    /** Schedules a flush unless one is scheduled for the given time or earlier. */
    private synchronized void scheduleFlush(Deadline when) {
        boolean scheduled =
                scheduledFlush.filter(at -> at.hasPassed(when.atNanos())).isPresent();
        if (!scheduled) {
            scheduledFlush = Optional.of(when);
            timing.scheduler().runAt(when, () -> flush(when));
        }
    }

    /** Sends as many batches as the limits allow, unless the flush was rescheduled meanwhile. */
    private void flush(Deadline scheduledFor) {
        synchronized (this) {
            if (scheduledFlush.filter(scheduledFor::equals).isEmpty()) {
                return;
            }
            scheduledFlush = Optional.empty();
        }
        List<Submission> batch = nextBatch();
        while (!batch.isEmpty()) {
            send(batch);
            batch = nextBatch();
        }
    }

    /** Removes the next batch from the queue and counts its call; returns an empty batch if nothing may be sent now. */
    private synchronized List<Submission> nextBatch() {
        List<Submission> batch = new ArrayList<>();
        if (queue.isEmpty() || callsInFlight >= limits.maxInFlightCalls()) {
            return batch;
        }
        long now = timing.ticker().nanos();
        if (!pausedUntil.hasPassed(now)) {
            scheduleFlush(pausedUntil);
            return batch;
        }
        double rate = limits.fleetCallsPerSecond() / Math.max(1, liveInstances.getAsInt());
        if (!rateLimiter.tryAcquire(now, rate)) {
            scheduleFlush(rateLimiter.nextCallAt(rate));
            return batch;
        }
        moveUnexpired(batch, now);
        if (!batch.isEmpty()) {
            callsInFlight++;
        }
        return batch;
    }

    /** Moves unexpired submissions from the queue to a batch; expired ones stay queued for {@link #expire}. */
    private void moveUnexpired(List<Submission> batch, long nowNanos) {
        int remaining = queue.size();
        while (remaining > 0 && batch.size() < limits.maxBatchRecords()) {
            Submission submission = queue.poll();
            if (submission.deadline().hasPassed(nowNanos)) {
                queue.add(submission);
            } else {
                sent.put(submission.record().id(), submission);
                batch.add(submission);
            }
            remaining--;
        }
    }

    /** Sends one batch to the log service. */
    private void send(List<Submission> batch) {
        CompletableFuture<Long> response = new CompletableFuture<>();
        response.whenComplete((first, error) -> finishCall(error));
        timing.scheduler()
                .runAt(
                        timing.deadlineAfterMillis(limits.callTimeoutMillis()),
                        () -> response.completeExceptionally(new LogUnavailableException(
                                "an append call timed out; its records are looked up in the log", null)));
        try {
            log.append(batch.stream().map(Submission::record).toList()).whenComplete((first, error) -> {
                if (error == null) {
                    response.complete(first);
                } else {
                    response.completeExceptionally(error);
                }
            });
        } catch (RuntimeException e) {
            response.completeExceptionally(e);
        }
    }

    /** Records the end of an append call; its records keep waiting for their verdicts, even after a failure. */
    private void finishCall(Throwable error) {
        synchronized (this) {
            callsInFlight--;
            consecutiveFailures = error == null ? 0 : consecutiveFailures + 1;
            long pauseMillis = error == null ? 0 : limits.backoffMillis(consecutiveFailures);
            pausedUntil = timing.deadlineAfterMillis(pauseMillis);
            scheduleFlush(pausedUntil);
        }
        follower.requestRead();
    }

    /** Completes the submission of an applied record, if it is one of this appender. */
    private void completeSubmission(AppliedRecord applied) {
        String id = applied.stored().record().id();
        Optional<Verdict> verdict = firstVerdict(id, applied.verdict());
        if (verdict.isEmpty()) {
            return;
        }
        Submission submission;
        synchronized (this) {
            submission = sent.remove(id);
        }
        if (submission != null) {
            submission.verdict().complete(verdict.get());
        }
    }

    /** Returns the given verdict or, for a duplicate, that on the first record with the id; empty if it is unknown. */
    private Optional<Verdict> firstVerdict(String id, Verdict verdict) {
        boolean duplicate = verdict.rejection()
                .filter(reason -> reason.kind() == Kind.DUPLICATE)
                .isPresent();
        return duplicate ? fold.verdict(id) : Optional.of(verdict);
    }

    /** Fails a submission at its deadline, unless it was completed. */
    private void expire(Submission submission) {
        boolean unsent;
        synchronized (this) {
            unsent = queue.remove(submission);
            sent.remove(submission.record().id());
        }
        RuntimeException failure = unsent
                ? new NotAppendedException("the record was not sent before its deadline; submit again later")
                : new LogUnavailableException(
                        "no verdict was read by the deadline; the record may still take effect", null);
        submission.verdict().completeExceptionally(failure);
    }

    /**
     * A record that was submitted and has no verdict yet.
     *
     * @param record the record
     * @param deadline the time at which the submission fails
     * @param verdict the future that the caller received
     */
    private record Submission(LogRecord record, Deadline deadline, CompletableFuture<Verdict> verdict) {}
}
