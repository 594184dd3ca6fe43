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
 * Appends records in batches within a budget of calls and waits for the verdict of this instance's fold.
 *
 * <p>A record is handed to the log service at most once. When an answer is lost, the record is looked for by its id
 * among the records that the follower applies.
 */
public final class BatchingAppender implements Appender {
    /** The author of the records. */
    private final String author;

    /** The log. */
    private final LogService log;

    /** The reader of the log. */
    private final LogFollower follower;

    /** The state that judges the records. */
    private final SharedFold fold;

    /** The bounds. */
    private final AppenderLimits limits;

    /** The number of live instances that share the budget of calls. */
    private final IntSupplier liveInstances;

    /** The sources of time. */
    private final Timing timing;

    /** The records that were not handed to the log service yet. */
    private final ArrayDeque<Submission> queue = new ArrayDeque<>();

    /** The records that were handed to the log service and wait for their verdict, by record id. */
    private final Map<String, Submission> sent = new HashMap<>();

    /** The budget of append calls. */
    private final AppendBudget budget;

    /** The unanswered append calls. */
    private int inFlight;

    /** The failed append calls in a row. */
    private int failures;

    /** The end of the pause after failed calls. */
    private Deadline pausedUntil;

    /** When the next flush is planned. */
    private Optional<Deadline> plannedFlush = Optional.empty();

    /** Creates an appender. */
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
        this.budget = new AppendBudget(timing.ticker().nanos());
        this.pausedUntil = new Deadline(timing.ticker().nanos());
    }

    /** Returns an appender that learns verdicts from the follower. */
    public static BatchingAppender create(
            String author,
            LogService log,
            LogFollower follower,
            SharedFold fold,
            AppenderLimits limits,
            IntSupplier liveInstances,
            Timing timing) {
        BatchingAppender appender = new BatchingAppender(author, log, follower, fold, limits, liveInstances, timing);
        follower.onApplied(appender::settle);
        return appender;
    }

    @Override
    public CompletableFuture<Verdict> submit(RecordBody body, Optional<Long> follows, Deadline deadline) {
        LogRecord record = LogRecord.create(author, timing.clock().millis(), follows, body);
        Submission submission = new Submission(record, deadline, new CompletableFuture<>());
        Optional<String> refusal = enqueue(submission);
        if (refusal.isPresent()) {
            return CompletableFuture.failedFuture(new NotAppendedException(refusal.get()));
        }
        timing.scheduler().runAt(deadline, () -> expire(submission));
        return submission.verdict();
    }

    /** Returns whether records are sent now, as opposed to during the pause after a failed append call. */
    public synchronized boolean isSending() {
        return timing.passed(pausedUntil);
    }

    /** Returns the number of records that wait to be sent or to be judged. */
    public synchronized int waiting() {
        return queue.size() + sent.size();
    }

    /** Queues a submission or returns why it is refused. */
    private synchronized Optional<String> enqueue(Submission submission) {
        if (timing.passed(submission.deadline())) {
            return Optional.of("the deadline had passed; submit with a later one");
        }
        if (waiting() >= limits.maxWaiting()) {
            return Optional.of("too many records wait for the log; submit again later");
        }
        queue.add(submission);
        planFlush(new Deadline(timing.ticker().nanos()));
        return Optional.empty();
    }

    /** Plans a flush unless one is planned for that time or earlier. */
    private synchronized void planFlush(Deadline when) {
        boolean planned = plannedFlush.filter(at -> at.passed(when.atNanos())).isPresent();
        if (!planned) {
            plannedFlush = Optional.of(when);
            timing.scheduler().runAt(when, () -> flush(when));
        }
    }

    /** Sends as many batches as the bounds allow, if the plan still holds. */
    private void flush(Deadline plan) {
        synchronized (this) {
            if (plannedFlush.filter(plan::equals).isEmpty()) {
                return;
            }
            plannedFlush = Optional.empty();
        }
        List<Submission> batch = nextBatch();
        while (!batch.isEmpty()) {
            send(batch);
            batch = nextBatch();
        }
    }

    /** Takes the next batch out of the queue; empty when nothing may be sent now. */
    private synchronized List<Submission> nextBatch() {
        List<Submission> batch = new ArrayList<>();
        if (queue.isEmpty() || inFlight >= limits.maxInFlight()) {
            return batch;
        }
        long now = timing.ticker().nanos();
        if (!pausedUntil.passed(now)) {
            planFlush(pausedUntil);
            return batch;
        }
        double rate = limits.fleetCallsPerSecond() / Math.max(1, liveInstances.getAsInt());
        if (!budget.take(now, rate)) {
            planFlush(budget.nextCall(rate));
            return batch;
        }
        takeUnexpired(batch, now);
        if (!batch.isEmpty()) {
            inFlight++;
        }
        return batch;
    }

    /** Moves unexpired submissions into a batch; expired ones stay for their own deadline task. */
    private void takeUnexpired(List<Submission> batch, long nowNanos) {
        int looked = queue.size();
        while (looked > 0 && batch.size() < limits.maxBatch()) {
            Submission submission = queue.poll();
            if (submission.deadline().passed(nowNanos)) {
                queue.add(submission);
            } else {
                sent.put(submission.record().id(), submission);
                batch.add(submission);
            }
            looked--;
        }
    }

    /** Hands one batch to the log service. */
    private void send(List<Submission> batch) {
        CompletableFuture<Long> answered = new CompletableFuture<>();
        answered.whenComplete((first, error) -> finishCall(error));
        timing.scheduler()
                .runAt(
                        timing.inMillis(limits.callTimeoutMillis()),
                        () -> answered.completeExceptionally(new LogUnavailableException(
                                "an append was not answered; its record is looked for", null)));
        try {
            log.append(batch.stream().map(Submission::record).toList()).whenComplete((first, error) -> {
                if (error == null) {
                    answered.complete(first);
                } else {
                    answered.completeExceptionally(error);
                }
            });
        } catch (RuntimeException e) {
            answered.completeExceptionally(e);
        }
    }

    /** Notes the end of one append call; the records wait for their verdicts in either case. */
    private void finishCall(Throwable error) {
        synchronized (this) {
            inFlight--;
            failures = error == null ? 0 : failures + 1;
            long pauseMillis = error == null ? 0 : limits.backoffMillis(failures);
            pausedUntil = timing.inMillis(pauseMillis);
            planFlush(pausedUntil);
        }
        follower.poke();
    }

    /** Completes the submission whose record was judged. */
    private void settle(AppliedRecord applied) {
        String id = applied.stored().record().id();
        Optional<Verdict> verdict = decisive(id, applied.verdict());
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

    /** Returns the verdict that counts: a duplicate has that of the first record with its id, where it is known. */
    private Optional<Verdict> decisive(String id, Verdict verdict) {
        boolean duplicate = verdict.rejection()
                .filter(reason -> reason.kind() == Kind.DUPLICATE)
                .isPresent();
        return duplicate ? fold.verdict(id) : Optional.of(verdict);
    }

    /** Fails a submission whose deadline passed. */
    private void expire(Submission submission) {
        boolean unsent;
        synchronized (this) {
            unsent = queue.remove(submission);
            sent.remove(submission.record().id());
        }
        RuntimeException failure = unsent
                ? new NotAppendedException("the record was not sent before its deadline; submit again later")
                : new LogUnavailableException("no verdict was read by the deadline; the record may still count", null);
        submission.verdict().completeExceptionally(failure);
    }

    /**
     * A record on its way.
     *
     * @param record the record
     * @param deadline when the submission fails
     * @param verdict completes with the verdict
     */
    private record Submission(LogRecord record, Deadline deadline, CompletableFuture<Verdict> verdict) {}
}
