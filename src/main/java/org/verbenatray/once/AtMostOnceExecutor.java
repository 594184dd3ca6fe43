package org.verbenatray.once;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.verbenatray.log.Appender;
import org.verbenatray.log.NotAppendedException;
import org.verbenatray.log.RecordBody;
import org.verbenatray.log.RecordBody.CallAnswer;
import org.verbenatray.log.RecordBody.CallOutcome;
import org.verbenatray.log.RecordBody.CallRelease;
import org.verbenatray.log.Verdict;
import org.verbenatray.log.Verdict.Rejection;
import org.verbenatray.once.AtMostOnceResult.Scope;
import org.verbenatray.once.WaitingRequests.WaitingRequest;
import org.verbenatray.state.AppliedRecord;
import org.verbenatray.state.SharedFold;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Timing;

/**
 * Runs calls with idempotency keys at most once: reserves the key in the log, sends the call and records its outcome.
 *
 * <p>A call is sent only after the log has accepted its reservation, so that of several attempts with the same key, at
 * any instances, only one is sent. Requests with a key that is held wait for the outcome of the attempt that holds it.
 *
 * <p>The name of the instance must be unique per process start, and {@link #onRecordApplied} and
 * {@link #completeAllResolved} must be registered with the follower of the log. Thread-safe.
 */
public final class AtMostOnceExecutor {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final String instance;

    /** The calls according to the log. Read only through {@link SharedFold#read}, under the lock of the fold. */
    private final CallFold calls;

    private final SharedFold fold;

    private final Appender appender;

    private final AtMostOnceLimits limits;

    private final BooleanSupplier logReachable;

    private final Predicate<String> instanceTerminated;

    private final Timing timing;

    /** Attempts of this instance that have not ended, by call key. Guarded by this object's lock. */
    private final Map<String, Attempt> liveAttempts = new HashMap<>();

    /** Requests that wait for another attempt with the same key. Guarded by this object's lock. */
    private final WaitingRequests waitingRequests = new WaitingRequests();

    /** Outcomes and releases that are not yet known to be in the log. */
    private final UnconfirmedRecords unconfirmedRecords;

    private AtMostOnceExecutor(
            String instance,
            CallFold calls,
            SharedFold fold,
            Appender appender,
            AtMostOnceLimits limits,
            BooleanSupplier logReachable,
            Predicate<String> instanceTerminated,
            Timing timing) {
        this.instance = instance;
        this.calls = calls;
        this.fold = fold;
        this.appender = appender;
        this.limits = limits;
        this.logReachable = logReachable;
        this.instanceTerminated = instanceTerminated;
        this.timing = timing;
        this.unconfirmedRecords = UnconfirmedRecords.create(appender, limits.settleTimeoutMillis(), timing);
    }

    /**
     * Returns an executor. Call {@link #start()} to begin the periodic sweeps. {@code calls} must be a part of
     * {@code fold}. {@code logReachable} tests whether the log can be read and written now, and
     * {@code instanceTerminated} whether the instance of a given name is known to have terminated.
     */
    public static AtMostOnceExecutor create(
            String instance,
            CallFold calls,
            SharedFold fold,
            Appender appender,
            AtMostOnceLimits limits,
            BooleanSupplier logReachable,
            Predicate<String> instanceTerminated,
            Timing timing) {
        return new AtMostOnceExecutor(
                instance, calls, fold, appender, limits, logReachable, instanceTerminated, timing);
    }

    /**
     * Runs the call of a request if no attempt with its key has been or may have been sent. Otherwise returns the
     * result of the earlier attempt, or waits for it until the request's deadline. The returned future never completes
     * exceptionally.
     */
    public CompletableFuture<AtMostOnceResult> execute(AtMostOnceRequest request, Sender sender) {
        if (timing.hasPassed(request.deadline())) {
            String reason = "the deadline had passed; repeat with a later one";
            return CompletableFuture.completedFuture(AtMostOnceResult.notRun(Scope.ATTEMPT, 0, reason));
        }
        if (request.key().isEmpty()) {
            return UnkeyedCall.run(request, sender, timing);
        }
        Attempt attempt = Attempt.create(request.key().get(), request, sender);
        Optional<AtMostOnceResult> known = admit(attempt);
        if (known.isPresent()) {
            attempt.result().complete(known.get());
        } else if (isLive(attempt)) {
            reserve(attempt);
        }
        return attempt.result();
    }

    /** Returns the number of running attempts and unconfirmed records. A planned shutdown waits until it is zero. */
    public synchronized int openCount() {
        return liveAttempts.size() + unconfirmedRecords.size();
    }

    /** Registers a new attempt or makes its request wait. Returns the result if it is known at once. */
    private synchronized Optional<AtMostOnceResult> admit(Attempt attempt) {
        CallKey key = attempt.key();
        Attempt other = liveAttempts.get(key.value());
        if (other != null) {
            boolean sameRequest =
                    other.request().bodyHash().equals(attempt.request().bodyHash());
            return sameRequest ? awaitOtherAttempt(attempt) : Optional.of(AtMostOnceResult.keyMisused());
        }
        Optional<Call> call = fold.read(() -> calls.find(key.value()));
        if (call.isPresent()) {
            return resultOf(attempt.request(), key, call).or(() -> awaitOtherAttempt(attempt));
        }
        if (fold.read(() -> calls.isExpired(key.issuedMillis()))) {
            return Optional.of(AtMostOnceResult.mayHaveRun(CallFold.KEY_EXPIRED_DETAIL));
        }
        Optional<AtMostOnceResult> rejection = checkAdmission();
        if (rejection.isEmpty()) {
            liveAttempts.put(key.value(), attempt);
        }
        return rejection;
    }

    private synchronized boolean isLive(Attempt attempt) {
        return liveAttempts.get(attempt.key().value()) == attempt;
    }

    /** Returns the result that rejects a new attempt, empty if one may be made. */
    private Optional<AtMostOnceResult> checkAdmission() {
        if (!logReachable.getAsBoolean()) {
            return Optional.of(attemptNotRun("the log is unreachable; repeat with the same key later"));
        }
        if (openCount() >= limits.maxOpen()) {
            return Optional.of(attemptNotRun("too many calls are open here; repeat with the same key later"));
        }
        return Optional.empty();
    }

    /** Returns a result that says that this attempt did not run and may be retried. */
    private AtMostOnceResult attemptNotRun(String reason) {
        return AtMostOnceResult.notRun(Scope.ATTEMPT, limits.retryAfterMillis(), reason);
    }

    /** Returns the result of a request whose key is or was held, empty while its call is unsettled. */
    private Optional<AtMostOnceResult> resultOf(AtMostOnceRequest request, CallKey key, Optional<Call> found) {
        if (found.isEmpty()) {
            return Optional.of(resultOfReleasedKey(key));
        }
        Call call = found.get();
        if (!call.bodyHash().equals(request.bodyHash())) {
            return Optional.of(AtMostOnceResult.keyMisused());
        }
        if (call.settlement().isPresent()) {
            return call.settlement().map(end -> resultOfSettledCall(end.answer()));
        }
        return call.instance().equals(instance) ? resultOfOwnCall(key, call) : resultOfOtherInstancesCall(call);
    }

    /**
     * Returns the result of an unsettled call that this instance reserved, using the record that may not be in the log
     * yet. Settles the call if this instance has no record for it.
     */
    private Optional<AtMostOnceResult> resultOfOwnCall(CallKey key, Call call) {
        Optional<RecordBody> record = unconfirmedRecords.find(call.attempt());
        if (record.isEmpty()) {
            settleOrphanedCall(call);
            return Optional.empty();
        }
        boolean sent = record.get() instanceof CallOutcome;
        return Optional.of(
                sent ? resultOfSettledCall(((CallOutcome) record.get()).answer()) : resultOfReleasedKey(key));
    }

    /**
     * Settles another instance's call if that instance has terminated or the call is too old. Always returns empty,
     * since the result is known only once the settlement is in the log.
     */
    private Optional<AtMostOnceResult> resultOfOtherInstancesCall(Call call) {
        long ageMillis = fold.read(calls::clockMillis) - call.reservedMillis();
        if (instanceTerminated.test(call.instance()) || ageMillis > limits.orphanTimeoutMillis()) {
            settleOrphanedCall(call);
        }
        return Optional.empty();
    }

    /**
     * Records that a call may have run. Until that record is in the log, the holder of the key can still settle or
     * release it, so no result may be returned before.
     */
    private void settleOrphanedCall(Call call) {
        recordEnd(call.attempt(), new CallOutcome(call.callKey(), call.attempt(), Optional.empty()));
    }

    /** Returns the result of a request that waited for a key that was released. */
    private AtMostOnceResult resultOfReleasedKey(CallKey key) {
        if (fold.read(() -> calls.isExpired(key.issuedMillis()))) {
            return AtMostOnceResult.mayHaveRun(CallFold.KEY_EXPIRED_DETAIL);
        }
        return attemptNotRun("the attempt that held the key was abandoned; repeat with the same key");
    }

    /** Returns the result of a call that was settled by an earlier attempt. */
    private static AtMostOnceResult resultOfSettledCall(Optional<CallAnswer> answer) {
        return answer.map(AtMostOnceResult::stored)
                .orElseGet(() ->
                        AtMostOnceResult.mayHaveRun("no answer was recorded; find out whether the call took effect"));
    }

    /**
     * Makes a request wait until its own deadline for the attempt that holds its key. Returns the result {@code
     * RUNNING} if too many requests wait or the log, which would deliver the outcome of another instance, is
     * unreachable.
     */
    private synchronized Optional<AtMostOnceResult> awaitOtherAttempt(Attempt attempt) {
        boolean onOtherInstance = !liveAttempts.containsKey(attempt.key().value());
        boolean outcomeUnreachable = onOtherInstance && !logReachable.getAsBoolean();
        if (outcomeUnreachable || waitingRequests.size() >= limits.maxWaitingRequests()) {
            return Optional.of(AtMostOnceResult.running(limits.retryAfterMillis()));
        }
        WaitingRequest request = new WaitingRequest(attempt.key(), attempt.request(), attempt.result());
        waitingRequests.add(request);
        timing.scheduler().runAt(attempt.request().deadline(), () -> completeAsRunning(request));
        return Optional.empty();
    }

    /** Completes a waiting request with the result {@code RUNNING}. */
    private void completeAsRunning(WaitingRequest request) {
        synchronized (this) {
            waitingRequests.remove(request);
        }
        request.result().complete(AtMostOnceResult.running(limits.retryAfterMillis()));
    }

    /** Appends the reservation of an attempt. Waits until the reservation timeout, but at most until the deadline. */
    private void reserve(Attempt attempt) {
        Deadline timeout = timing.deadlineAfterMillis(limits.reserveTimeoutMillis());
        Deadline requestDeadline = attempt.request().deadline();
        Deadline earlier = requestDeadline.hasPassed(timeout.atNanos()) ? requestDeadline : timeout;
        appender.submit(attempt.reservation(instance), Optional.empty(), earlier)
                .whenComplete((verdict, error) -> handleReservationVerdict(attempt, verdict, error));
    }

    /** Sends, rejects or abandons an attempt, depending on the verdict on its reservation or the failure to get one. */
    private void handleReservationVerdict(Attempt attempt, Verdict verdict, Throwable error) {
        if (error != null) {
            boolean appended = !(unwrap(error) instanceof NotAppendedException);
            abandon(
                    attempt,
                    appended,
                    attemptNotRun("the log did not confirm the reservation; repeat with the same key"));
        } else if (verdict.isAccepted()) {
            send(attempt);
        } else {
            handleRejection(attempt, verdict.rejection().get());
        }
    }

    /** Sends the call of an attempt that holds its key, or releases the key if the request's deadline has passed. */
    private void send(Attempt attempt) {
        Deadline deadline = attempt.request().deadline();
        if (timing.hasPassed(deadline)
                || !attempt.tryStartSending(timing.ticker().nanos())) {
            String reason = "the deadline passed before the call was sent; repeat with a later one";
            abandon(attempt, true, AtMostOnceResult.notRun(Scope.CALL, 0, reason));
            return;
        }
        timing.scheduler()
                .runAt(deadline, () -> attempt.result().complete(AtMostOnceResult.running(limits.retryAfterMillis())));
        CompletableFuture<CallAnswer> response;
        try {
            response = attempt.sender().send();
        } catch (RuntimeException e) {
            response = CompletableFuture.failedFuture(e);
        }
        response.whenComplete((answer, error) -> handleSendCompletion(attempt, answer, error));
    }

    /** Records the response or failure of a sent call and completes its requests. */
    private void handleSendCompletion(Attempt attempt, CallAnswer answer, Throwable error) {
        if (!attempt.tryEnd()) {
            return;
        }
        String key = attempt.key().value();
        if (unwrap(error) instanceof NotSentException) {
            String reason = "no backend server accepted the call; repeat with the same key";
            AtMostOnceResult result = AtMostOnceResult.notRun(Scope.CALL, limits.retryAfterMillis(), reason);
            finish(attempt, new CallRelease(key, attempt.id()), result, resultOfReleasedKey(attempt.key()));
        } else if (error != null || answer == null) {
            finishAsUnknown(attempt);
        } else {
            CallOutcome outcome = new CallOutcome(key, attempt.id(), Optional.of(withoutOversizedBody(answer)));
            finish(attempt, outcome, AtMostOnceResult.ownResponse(answer), AtMostOnceResult.stored(answer));
        }
    }

    /** Records that it is unknown whether a sent call ran, and completes its requests. */
    private void finishAsUnknown(Attempt attempt) {
        CallOutcome unknown = new CallOutcome(attempt.key().value(), attempt.id(), Optional.empty());
        finish(attempt, unknown, resultOfSettledCall(Optional.empty()), resultOfSettledCall(Optional.empty()));
    }

    /** Returns the response without its body if the body exceeds the limit. */
    private static CallAnswer withoutOversizedBody(CallAnswer answer) {
        Optional<String> body = answer.body().filter(text -> text.length() <= CallLimits.FORMAT_1.maxBodyChars());
        return new CallAnswer(answer.status(), answer.contentType(), body);
    }

    /** Abandons an attempt before it is sent. Records a release if the reservation may be in the log. */
    private void abandon(Attempt attempt, boolean appended, AtMostOnceResult result) {
        if (!attempt.tryAbandon()) {
            return;
        }
        if (appended) {
            CallRelease release = new CallRelease(attempt.key().value(), attempt.id());
            finish(attempt, release, result, resultOfReleasedKey(attempt.key()));
        } else {
            removeLive(attempt);
            attempt.result().complete(result);
            completeResolved(attempt.key().value());
        }
    }

    /** Records the end of an attempt, then completes its own request and the requests that waited for it. */
    private void finish(
            Attempt attempt, RecordBody record, AtMostOnceResult ownResult, AtMostOnceResult waitersResult) {
        String key = attempt.key().value();
        List<WaitingRequest> waiting;
        synchronized (this) {
            recordEnd(attempt.id(), record);
            removeLive(attempt);
            waiting = waitingRequests.forKey(key);
            waiting.forEach(waitingRequests::remove);
        }
        attempt.result().complete(ownResult);
        waiting.forEach(request -> request.result().complete(waitersResult));
    }

    /** Stores the record that ends an attempt, and appends it now or, if the log is unreachable, in a later sweep. */
    private void recordEnd(String attempt, RecordBody record) {
        unconfirmedRecords.add(attempt, record);
        if (logReachable.getAsBoolean()) {
            unconfirmedRecords.flush();
        }
    }

    private synchronized void removeLive(Attempt attempt) {
        liveAttempts.remove(attempt.key().value(), attempt);
    }

    /** Completes the request of an attempt whose reservation was rejected, or makes it wait if the key is taken. */
    private void handleRejection(Attempt attempt, Rejection rejection) {
        if (!attempt.tryAbandon()) {
            return;
        }
        removeLive(attempt);
        switch (rejection.kind()) {
            case KEY_TAKEN -> awaitOtherAttempt(attempt).ifPresent(attempt.result()::complete);
            case KEY_EXPIRED -> attempt.result().complete(AtMostOnceResult.mayHaveRun(rejection.detail()));
            case FULL ->
                attempt.result()
                        .complete(AtMostOnceResult.notRun(Scope.CALL, limits.retryAfterMillis(), rejection.detail()));
            default -> attempt.result().complete(resultOfInvalidReservation(rejection));
        }
        completeResolved(attempt.key().value());
    }

    /** Returns the result for a reservation that was rejected as invalid or stale. */
    private static AtMostOnceResult resultOfInvalidReservation(Rejection rejection) {
        boolean keyReused = rejection.detail().equals(CallFold.KEY_REUSED_DETAIL);
        return keyReused
                ? AtMostOnceResult.keyMisused()
                : AtMostOnceResult.notRun(Scope.ATTEMPT, 0, rejection.detail());
    }

    /** Completes waiting requests after an outcome or release was applied. Register it with the follower of the log. */
    public void onRecordApplied(AppliedRecord applied) {
        RecordBody body = applied.stored().record().body();
        if (!applied.verdict().isAccepted()) {
            return;
        }
        if (body instanceof CallOutcome outcome) {
            completeResolved(outcome.callKey());
        } else if (body instanceof CallRelease release) {
            completeResolved(release.callKey());
        }
    }

    /** Completes every waiting request whose result is known. Register it to run after a snapshot was loaded. */
    public void completeAllResolved() {
        List<String> keys;
        synchronized (this) {
            keys = List.copyOf(waitingRequests.keys());
        }
        keys.forEach(this::completeResolved);
    }

    /** Completes the requests that wait for a key, unless an attempt runs here or the result is still unknown. */
    private void completeResolved(String callKey) {
        Map<WaitingRequest, AtMostOnceResult> results = new HashMap<>();
        synchronized (this) {
            if (liveAttempts.containsKey(callKey)) {
                return;
            }
            Optional<Call> call = fold.read(() -> calls.find(callKey));
            for (WaitingRequest request : waitingRequests.forKey(callKey)) {
                resultOf(request.request(), request.key(), call).ifPresent(result -> results.put(request, result));
            }
            results.keySet().forEach(waitingRequests::remove);
        }
        results.forEach((request, result) -> request.result().complete(result));
    }

    /** Runs a sweep and schedules the next one after the sweep interval. */
    public void start() {
        sweep();
        timing.scheduler().runAt(timing.deadlineAfterMillis(limits.sweepIntervalMillis()), this::start);
    }

    /**
     * Settles overdue attempts. If the log is reachable, appends unconfirmed records and completes the waiting
     * requests with a known result; otherwise stops the wait for attempts of other instances, whose outcomes cannot
     * arrive.
     */
    public void sweep() {
        overdueAttempts().stream().filter(Attempt::tryEnd).forEach(this::finishAsUnknown);
        if (logReachable.getAsBoolean()) {
            unconfirmedRecords.flush();
            completeAllResolved();
        } else {
            requestsWaitingForOtherInstances().forEach(this::completeAsRunning);
        }
    }

    /**
     * Returns the attempts that have been sending for longer than the orphan timeout, so that no response is expected
     * any more.
     */
    private synchronized List<Attempt> overdueAttempts() {
        long overdueBefore = timing.ticker().nanos() - limits.orphanTimeoutMillis() * NANOS_PER_MILLI;
        return liveAttempts.values().stream()
                .filter(attempt -> attempt.isSendingSinceBefore(overdueBefore))
                .toList();
    }

    private synchronized List<WaitingRequest> requestsWaitingForOtherInstances() {
        List<WaitingRequest> waiting = new ArrayList<>();
        for (String key : waitingRequests.keys()) {
            if (!liveAttempts.containsKey(key)) {
                waiting.addAll(waitingRequests.forKey(key));
            }
        }
        return waiting;
    }

    /** Unwraps a {@link CompletionException}. Returns null for null. */
    private static Throwable unwrap(Throwable error) {
        return error instanceof CompletionException && error.getCause() != null ? error.getCause() : error;
    }
}
