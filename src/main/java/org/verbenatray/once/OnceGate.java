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
import org.verbenatray.once.OnceResult.Scope;
import org.verbenatray.once.Repeats.Repeat;
import org.verbenatray.state.AppliedRecord;
import org.verbenatray.state.SharedFold;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Timing;

/**
 * Runs calls at most once: reserves the key in the log, sends the call, records the outcome.
 *
 * <p>The instance's name must be unique per process start, and {@link #applied} and {@link #recheck} must be registered
 * with the follower of the log.
 */
public final class OnceGate {
    /** Nanoseconds in one millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The name of this instance. */
    private final String instance;

    /** The calls as the log tells them; read under the lock of the state only. */
    private final CallFold calls;

    /** The state that holds the calls. */
    private final SharedFold fold;

    /** Appends reservations. */
    private final Appender appender;

    /** The times and bounds. */
    private final OnceLimits limits;

    /** Whether the log can be read and written now. */
    private final BooleanSupplier logReachable;

    /** Whether an instance is known to be gone. */
    private final Predicate<String> instanceGone;

    /** The sources of time. */
    private final Timing timing;

    /** The attempts of this instance by key. */
    private final Map<String, Attempt> live = new HashMap<>();

    /** The requests that wait for other attempts. */
    private final Repeats repeats = new Repeats();

    /** The ends that are not in the log yet. */
    private final Endings endings;

    /** Creates a gate. */
    private OnceGate(
            String instance,
            CallFold calls,
            SharedFold fold,
            Appender appender,
            OnceLimits limits,
            BooleanSupplier logReachable,
            Predicate<String> instanceGone,
            Timing timing) {
        this.instance = instance;
        this.calls = calls;
        this.fold = fold;
        this.appender = appender;
        this.limits = limits;
        this.logReachable = logReachable;
        this.instanceGone = instanceGone;
        this.timing = timing;
        this.endings = Endings.create(appender, limits.settleTimeoutMillis(), timing);
    }

    /** Returns a gate; call {@link #start()} for its regular work. */
    public static OnceGate create(
            String instance,
            CallFold calls,
            SharedFold fold,
            Appender appender,
            OnceLimits limits,
            BooleanSupplier logReachable,
            Predicate<String> instanceGone,
            Timing timing) {
        return new OnceGate(instance, calls, fold, appender, limits, logReachable, instanceGone, timing);
    }

    /** Runs the call of a request if that is known to be its first run; the future never fails. */
    public CompletableFuture<OnceResult> execute(OnceRequest request, Sender sender) {
        if (timing.passed(request.deadline())) {
            String reason = "the deadline had passed; repeat with a later one";
            return CompletableFuture.completedFuture(OnceResult.notRun(Scope.ATTEMPT, 0, reason));
        }
        if (request.key().isEmpty()) {
            return UnkeyedCall.run(request, sender, timing);
        }
        Attempt attempt = Attempt.create(request.key().get(), request, sender);
        Optional<OnceResult> known = admit(attempt);
        if (known.isPresent()) {
            attempt.result().complete(known.get());
        } else if (isLive(attempt)) {
            reserve(attempt);
        }
        return attempt.result();
    }

    /** Returns the number of attempts and unrecorded ends; a planned stop waits until it is zero. */
    public synchronized int open() {
        return live.size() + endings.size();
    }

    /** Takes an attempt in or lets its request wait; returns the result where it is known. */
    private synchronized Optional<OnceResult> admit(Attempt attempt) {
        CallKey key = attempt.key();
        Attempt other = live.get(key.value());
        if (other != null) {
            boolean same = other.request().bodyHash().equals(attempt.request().bodyHash());
            return same ? await(attempt) : Optional.of(OnceResult.keyMisused());
        }
        Optional<Call> call = fold.read(() -> calls.find(key.value()));
        if (call.isPresent()) {
            return result(attempt.request(), key, call).or(() -> await(attempt));
        }
        if (fold.read(() -> calls.isExpired(key.issuedMillis()))) {
            return Optional.of(OnceResult.mayHaveRun(CallFold.EXPIRED));
        }
        Optional<OnceResult> refusal = refusal();
        if (refusal.isEmpty()) {
            live.put(key.value(), attempt);
        }
        return refusal;
    }

    /** Returns whether an attempt of this instance has not ended. */
    private synchronized boolean isLive(Attempt attempt) {
        return live.get(attempt.key().value()) == attempt;
    }

    /** Returns the refusal of a new attempt, empty when one may be made. */
    private Optional<OnceResult> refusal() {
        if (!logReachable.getAsBoolean()) {
            return Optional.of(refused("the log is out of reach; repeat with the same key later"));
        }
        if (open() >= limits.maxOpen()) {
            return Optional.of(refused("too many calls are open here; repeat with the same key later"));
        }
        return Optional.empty();
    }

    /** Returns that this attempt did not run. */
    private OnceResult refused(String reason) {
        return OnceResult.notRun(Scope.ATTEMPT, limits.retryAfterMillis(), reason);
    }

    /** Returns the result of a request whose key is or was held, empty while the call runs. */
    private Optional<OnceResult> result(OnceRequest request, CallKey key, Optional<Call> found) {
        if (found.isEmpty()) {
            return Optional.of(givenUp(key));
        }
        Call call = found.get();
        if (!call.bodyHash().equals(request.bodyHash())) {
            return Optional.of(OnceResult.keyMisused());
        }
        if (call.settlement().isPresent()) {
            return call.settlement().map(end -> ended(end.answer()));
        }
        return call.instance().equals(instance) ? ownResult(key, call) : foreignResult(call);
    }

    /** Returns the result of a call that this instance reserved and whose end may not be in the log yet. */
    private Optional<OnceResult> ownResult(CallKey key, Call call) {
        Optional<RecordBody> ending = endings.of(call.attempt());
        if (ending.isEmpty()) {
            settleOrphan(call);
            return Optional.empty();
        }
        boolean sent = ending.get() instanceof CallOutcome;
        return Optional.of(sent ? ended(((CallOutcome) ending.get()).answer()) : givenUp(key));
    }

    /** Settles the running call of another instance if nobody else will; the log then tells the result. */
    private Optional<OnceResult> foreignResult(Call call) {
        long ageMillis = fold.read(calls::clockMillis) - call.reservedMillis();
        if (instanceGone.test(call.instance()) || ageMillis > limits.orphanMillis()) {
            settleOrphan(call);
        }
        return Optional.empty();
    }

    /** Records that a call may have run; its key is free for nobody once that is in the log, and not before. */
    private void settleOrphan(Call call) {
        end(call.attempt(), new CallOutcome(call.callKey(), call.attempt(), Optional.empty()));
    }

    /** Returns the result of a request whose key was held and is free again. */
    private OnceResult givenUp(CallKey key) {
        if (fold.read(() -> calls.isExpired(key.issuedMillis()))) {
            return OnceResult.mayHaveRun(CallFold.EXPIRED);
        }
        return refused("the attempt that held the key was given up; repeat with the same key");
    }

    /** Returns the result of a call that ended. */
    private static OnceResult ended(Optional<CallAnswer> answer) {
        return answer.map(OnceResult::stored)
                .orElseGet(
                        () -> OnceResult.mayHaveRun("no answer was recorded; find out whether the call took effect"));
    }

    /** Lets a request wait for the attempt that holds its key until its own deadline, or tells that it is running. */
    private synchronized Optional<OnceResult> await(Attempt attempt) {
        boolean elsewhere = !live.containsKey(attempt.key().value());
        boolean hopeless = elsewhere && !logReachable.getAsBoolean();
        if (hopeless || repeats.size() >= limits.maxWaiting()) {
            return Optional.of(OnceResult.running(limits.retryAfterMillis()));
        }
        Repeat repeat = new Repeat(attempt.key(), attempt.request(), attempt.result());
        repeats.add(repeat);
        timing.scheduler().runAt(attempt.request().deadline(), () -> stopWaiting(repeat));
        return Optional.empty();
    }

    /** Tells a waiting request that its call is still running. */
    private void stopWaiting(Repeat repeat) {
        synchronized (this) {
            repeats.remove(repeat);
        }
        repeat.result().complete(OnceResult.running(limits.retryAfterMillis()));
    }

    /** Reserves the key of an attempt. */
    private void reserve(Attempt attempt) {
        Deadline timeout = timing.inMillis(limits.reserveTimeoutMillis());
        Deadline caller = attempt.request().deadline();
        Deadline earlier = caller.passed(timeout.atNanos()) ? caller : timeout;
        appender.submit(attempt.reservation(instance), Optional.empty(), earlier)
                .whenComplete((verdict, error) -> reserved(attempt, verdict, error));
    }

    /** Goes on after the verdict over a reservation, or without one. */
    private void reserved(Attempt attempt, Verdict verdict, Throwable error) {
        if (error != null) {
            boolean appended = !(cause(error) instanceof NotAppendedException);
            abandon(attempt, appended, refused("the log did not confirm the reservation; repeat with the same key"));
        } else if (verdict.isAccepted()) {
            send(attempt);
        } else {
            rejected(attempt, verdict.rejection().get());
        }
    }

    /** Sends the call of an attempt that holds its key, unless the caller's deadline passed. */
    private void send(Attempt attempt) {
        Deadline deadline = attempt.request().deadline();
        if (timing.passed(deadline) || !attempt.startSending(timing.ticker().nanos())) {
            String reason = "the deadline passed before the call was sent; repeat with a later one";
            abandon(attempt, true, OnceResult.notRun(Scope.CALL, 0, reason));
            return;
        }
        timing.scheduler()
                .runAt(deadline, () -> attempt.result().complete(OnceResult.running(limits.retryAfterMillis())));
        CompletableFuture<CallAnswer> answered;
        try {
            answered = attempt.sender().send();
        } catch (RuntimeException e) {
            answered = CompletableFuture.failedFuture(e);
        }
        answered.whenComplete((answer, error) -> sent(attempt, answer, error));
    }

    /** Takes the end of a sent call. */
    private void sent(Attempt attempt, CallAnswer answer, Throwable error) {
        if (!attempt.end()) {
            return;
        }
        String key = attempt.key().value();
        if (cause(error) instanceof NotSentException) {
            String reason = "no backend server took the call; repeat with the same key";
            OnceResult result = OnceResult.notRun(Scope.CALL, limits.retryAfterMillis(), reason);
            finish(attempt, new CallRelease(key, attempt.id()), result, givenUp(attempt.key()));
        } else if (error != null || answer == null) {
            finishUnknown(attempt);
        } else {
            CallOutcome outcome = new CallOutcome(key, attempt.id(), Optional.of(keepable(answer)));
            finish(attempt, outcome, OnceResult.fresh(answer), OnceResult.stored(answer));
        }
    }

    /** Ends an attempt of which it is unknown whether it ran. */
    private void finishUnknown(Attempt attempt) {
        CallOutcome unknown = new CallOutcome(attempt.key().value(), attempt.id(), Optional.empty());
        finish(attempt, unknown, ended(Optional.empty()), ended(Optional.empty()));
    }

    /** Returns an answer without a body that the log does not keep. */
    private static CallAnswer keepable(CallAnswer answer) {
        Optional<String> body = answer.body().filter(text -> text.length() <= CallLimits.FORMAT_1.maxAnswerChars());
        return new CallAnswer(answer.status(), answer.contentType(), body);
    }

    /** Gives up an attempt that sent nothing; the release is recorded when the reservation may be in the log. */
    private void abandon(Attempt attempt, boolean appended, OnceResult result) {
        if (!attempt.abandon()) {
            return;
        }
        if (appended) {
            CallRelease release = new CallRelease(attempt.key().value(), attempt.id());
            finish(attempt, release, result, givenUp(attempt.key()));
        } else {
            drop(attempt);
            attempt.result().complete(result);
            recheckKey(attempt.key().value());
        }
    }

    /** Records the end of an attempt and tells the caller and those who waited for it. */
    private void finish(Attempt attempt, RecordBody record, OnceResult own, OnceResult others) {
        String key = attempt.key().value();
        List<Repeat> waiting;
        synchronized (this) {
            end(attempt.id(), record);
            drop(attempt);
            waiting = repeats.of(key);
            waiting.forEach(repeats::remove);
        }
        attempt.result().complete(own);
        waiting.forEach(repeat -> repeat.result().complete(others));
    }

    /** Notes the end of an attempt and appends it if the log is in reach. */
    private void end(String attempt, RecordBody record) {
        endings.add(attempt, record);
        if (logReachable.getAsBoolean()) {
            endings.flush();
        }
    }

    /** Removes an attempt from the live ones. */
    private synchronized void drop(Attempt attempt) {
        live.remove(attempt.key().value(), attempt);
    }

    /** Tells the result of an attempt whose reservation was rejected. */
    private void rejected(Attempt attempt, Rejection rejection) {
        if (!attempt.abandon()) {
            return;
        }
        drop(attempt);
        switch (rejection.kind()) {
            case KEY_TAKEN -> await(attempt).ifPresent(attempt.result()::complete);
            case KEY_EXPIRED -> attempt.result().complete(OnceResult.mayHaveRun(rejection.detail()));
            case FULL ->
                attempt.result().complete(OnceResult.notRun(Scope.CALL, limits.retryAfterMillis(), rejection.detail()));
            default -> attempt.result().complete(misused(rejection));
        }
        recheckKey(attempt.key().value());
    }

    /** Returns the result of a reservation that broke a rule. */
    private static OnceResult misused(Rejection rejection) {
        boolean otherBody = rejection.detail().equals(CallFold.OTHER_BODY);
        return otherBody ? OnceResult.keyMisused() : OnceResult.notRun(Scope.ATTEMPT, 0, rejection.detail());
    }

    /** Takes a record that was applied; to be registered with the follower of the log. */
    public void applied(AppliedRecord applied) {
        RecordBody body = applied.stored().record().body();
        if (!applied.verdict().isAccepted()) {
            return;
        }
        if (body instanceof CallOutcome outcome) {
            recheckKey(outcome.callKey());
        } else if (body instanceof CallRelease release) {
            recheckKey(release.callKey());
        }
    }

    /** Looks again at every key that requests wait for, after the state moved to a snapshot. */
    public void recheck() {
        List<String> keys;
        synchronized (this) {
            keys = List.copyOf(repeats.keys());
        }
        keys.forEach(this::recheckKey);
    }

    /** Tells the waiting requests of a key what became of its call, unless it runs. */
    private void recheckKey(String callKey) {
        Map<Repeat, OnceResult> results = new HashMap<>();
        synchronized (this) {
            if (live.containsKey(callKey)) {
                return;
            }
            Optional<Call> call = fold.read(() -> calls.find(callKey));
            for (Repeat repeat : repeats.of(callKey)) {
                result(repeat.request(), repeat.key(), call).ifPresent(result -> results.put(repeat, result));
            }
            results.keySet().forEach(repeats::remove);
        }
        results.forEach((repeat, result) -> repeat.result().complete(result));
    }

    /** Starts the regular work. */
    public void start() {
        sweep();
        timing.scheduler().runAt(timing.inMillis(limits.sweepMillis()), this::start);
    }

    /** Records what could not be recorded before, and ends what waits in vain. */
    public void sweep() {
        overdue().stream().filter(Attempt::end).forEach(this::finishUnknown);
        if (logReachable.getAsBoolean()) {
            endings.flush();
            recheck();
        } else {
            waitingElsewhere().forEach(this::stopWaiting);
        }
    }

    /** Returns the attempts whose sender has not ended for so long that no answer is expected. */
    private synchronized List<Attempt> overdue() {
        long before = timing.ticker().nanos() - limits.orphanMillis() * NANOS_PER_MILLI;
        return live.values().stream()
                .filter(attempt -> attempt.isSendingSince(before))
                .toList();
    }

    /** Returns the requests that wait for an attempt of another instance. */
    private synchronized List<Repeat> waitingElsewhere() {
        List<Repeat> waiting = new ArrayList<>();
        for (String key : repeats.keys()) {
            if (!live.containsKey(key)) {
                waiting.addAll(repeats.of(key));
            }
        }
        return waiting;
    }

    /** Returns the failure inside a wrapper, null for none. */
    private static Throwable cause(Throwable error) {
        return error instanceof CompletionException && error.getCause() != null ? error.getCause() : error;
    }
}
