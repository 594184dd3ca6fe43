package org.verbenatray.once;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.verbenatray.log.RecordBody;
import org.verbenatray.log.RecordBody.CallAnswer;
import org.verbenatray.log.RecordBody.CallOutcome;
import org.verbenatray.log.RecordBody.CallRelease;
import org.verbenatray.log.RecordBody.CallReservation;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.log.RecordFold;
import org.verbenatray.log.StoredRecord;
import org.verbenatray.log.Verdict;
import org.verbenatray.log.Verdict.Kind;
import org.verbenatray.log.Verdict.Rejection;
import org.verbenatray.once.Call.Settlement;

/**
 * Folds the reservations, outcomes and releases of at-most-once calls into the table of known calls.
 *
 * <p>The result depends on the records and their order only, so every instance reaches the same verdicts. Not
 * thread-safe: the owner provides the lock.
 */
public final class CallFold implements RecordFold {
    /** Detail of the rejection of a key that was reserved for a different request. */
    public static final String KEY_REUSED_DETAIL =
            "the key was used with another request; use a new key for a new request";

    /** Detail of the rejection of a key that was issued before the expiry horizon. */
    static final String KEY_EXPIRED_DETAIL = "the key is too old to know whether it ran; find out, then use a new key";

    private static final int MAX_FIELD_CHARS = 256;

    private final CallLimits limits;

    private final LogClock clock = new LogClock();

    private final CallTable calls;

    /** Released attempts, whose reservations are rejected if they reach the log late. */
    private final ReleasedAttempts releasedAttempts = new ReleasedAttempts();

    /** Issue time before which keys are rejected, in milliseconds since the epoch. Never decreases. */
    private long horizonMillis;

    private CallFold(CallLimits limits) {
        this.limits = limits;
        this.calls = new CallTable(limits);
    }

    /** Returns an empty fold with the limits of record format 1. */
    public static CallFold create() {
        return new CallFold(CallLimits.FORMAT_1);
    }

    /** Returns an empty fold with the given limits. */
    static CallFold withLimits(CallLimits limits) {
        return new CallFold(limits);
    }

    /** Returns the call that holds a key, if any. Must be called under the owner's lock. */
    public Optional<Call> find(String callKey) {
        return calls.find(callKey);
    }

    /** Returns the issue time before which keys are rejected, in milliseconds since the epoch. */
    public long horizonMillis() {
        return horizonMillis;
    }

    /**
     * Returns whether a key with the given issue time is rejected because its call may already have been removed.
     * Opaque keys, which have no issue time, never expire.
     */
    public boolean isExpired(Optional<Long> issuedMillis) {
        return issuedMillis.filter(at -> at < horizonMillis).isPresent();
    }

    /** Returns the time derived from the records, in milliseconds since the epoch. */
    public long clockMillis() {
        return clock.nowMillis();
    }

    /** Returns the number of calls in the table. */
    public int size() {
        return calls.size();
    }

    @Override
    public String name() {
        return "calls";
    }

    @Override
    public boolean handles(RecordBody body) {
        return body instanceof CallReservation || body instanceof CallOutcome || body instanceof CallRelease;
    }

    @Override
    public Verdict apply(StoredRecord stored) {
        clock.observe(stored.record().author(), stored.offset(), stored.record().atMillis());
        releasedAttempts.removeExpired(stored.offset());
        raiseHorizon(clock.nowMillis() - limits.retentionMillis());
        RecordBody body = stored.record().body();
        Optional<Rejection> rejection;
        if (body instanceof CallReservation reservation) {
            rejection = reserve(stored, reservation);
        } else if (body instanceof CallOutcome outcome) {
            rejection = settle(stored, outcome);
        } else {
            rejection = release(stored, (CallRelease) body);
        }
        return new Verdict(stored.offset(), rejection);
    }

    /** Removes the calls whose keys were issued before the given time and rejects such keys from now on. */
    private void raiseHorizon(long millis) {
        horizonMillis = Math.max(horizonMillis, millis);
        calls.removeIssuedBefore(horizonMillis);
    }

    private Optional<Rejection> reserve(StoredRecord stored, CallReservation reservation) {
        if (!isWellFormed(reservation)) {
            return rejection(Kind.INVALID, "a field is missing or too long; correct the record");
        }
        Optional<Call> holder = calls.find(reservation.callKey());
        if (holder.isPresent()) {
            return Optional.of(keyConflict(reservation, holder.get()));
        }
        if (releasedAttempts.contains(reservation.attempt())) {
            return rejection(Kind.STALE, "the attempt was released; make a new attempt");
        }
        if (isExpired(reservation.keyIssuedMillis())) {
            return rejection(Kind.KEY_EXPIRED, KEY_EXPIRED_DETAIL);
        }
        Call call = new Call(
                reservation.callKey(),
                reservation.bodyHash(),
                reservation.instance(),
                stored.record().author(),
                reservation.attempt(),
                stored.offset(),
                clock.nowMillis(),
                reservation.keyIssuedMillis(),
                Optional.empty());
        return addOrReject(call);
    }

    private static boolean isWellFormed(CallReservation reservation) {
        return isBounded(reservation.callKey())
                && isBounded(reservation.bodyHash())
                && isBounded(reservation.instance())
                && isBounded(reservation.attempt());
    }

    private static boolean isBounded(String field) {
        return field != null && !field.isEmpty() && field.length() <= MAX_FIELD_CHARS;
    }

    /** Returns the rejection of a reservation whose key is already held. */
    private static Rejection keyConflict(CallReservation reservation, Call holder) {
        if (!holder.bodyHash().equals(reservation.bodyHash())) {
            return Rejection.createWithRival(Kind.INVALID, KEY_REUSED_DETAIL, holder.author(), holder.offset());
        }
        String detail = "the key is held by instance " + holder.instance() + "; wait for its outcome";
        return Rejection.createWithRival(Kind.KEY_TAKEN, detail, holder.author(), holder.offset());
    }

    /**
     * Adds a call. When the table is full of timestamped keys, raises the horizon past the oldest key first, as long
     * as the minimum retention allows it.
     */
    private Optional<Rejection> addOrReject(Call call) {
        if (call.issuedMillis().isPresent() && calls.isFullOfTimestampedKeys()) {
            calls.oldestIssuedMillis()
                    .filter(oldest -> oldest < clock.nowMillis() - limits.minRetentionMillis())
                    .ifPresent(oldest -> raiseHorizon(oldest + 1));
        }
        if (isExpired(call.issuedMillis())) {
            return rejection(Kind.KEY_EXPIRED, KEY_EXPIRED_DETAIL);
        }
        if (!calls.hasRoomFor(call)) {
            String remedy = call.issuedMillis().isPresent()
                    ? "repeat with the same key later"
                    : "use a UUIDv7 as Idempotency-Key";
            return rejection(Kind.FULL, "the table of calls is full; " + remedy);
        }
        calls.put(call);
        return Optional.empty();
    }

    /**
     * Records the outcome of an unsettled call. Any instance may record an unknown outcome, since the holder may have
     * crashed.
     */
    private Optional<Rejection> settle(StoredRecord stored, CallOutcome outcome) {
        Optional<Call> running = findUnsettled(outcome.callKey(), outcome.attempt());
        if (running.isEmpty()) {
            return rejection(Kind.STALE, "no such attempt is running; no action is needed");
        }
        Call call = running.get();
        boolean byHolder = call.author().equals(stored.record().author());
        if (outcome.answer().isPresent() && !byHolder) {
            return rejection(Kind.INVALID, "only the instance that sent a call may state its answer");
        }
        Optional<CallAnswer> storedAnswer = outcome.answer().map(this::withoutOversizedBody);
        calls.put(call.withSettlement(new Settlement(stored.offset(), storedAnswer)));
        return Optional.empty();
    }

    /** Returns the response without its body if the body exceeds the limit. */
    private CallAnswer withoutOversizedBody(CallAnswer answer) {
        Optional<String> body = answer.body().filter(text -> text.length() <= limits.maxBodyChars());
        return new CallAnswer(answer.status(), answer.contentType(), body);
    }

    /**
     * Frees the key of an attempt that was never sent. Also remembers the attempt, so that a reservation that arrives
     * after its release is rejected.
     */
    private Optional<Rejection> release(StoredRecord stored, CallRelease release) {
        if (!isBounded(release.attempt())) {
            return rejection(Kind.INVALID, "the attempt is missing or too long; correct the record");
        }
        Optional<Call> holder =
                calls.find(release.callKey()).filter(call -> call.attempt().equals(release.attempt()));
        if (holder.isEmpty()) {
            releasedAttempts.add(release.attempt(), stored.offset());
            return Optional.empty();
        }
        if (holder.get().settlement().isPresent()) {
            return rejection(Kind.STALE, "the call was settled; no action is needed");
        }
        if (!holder.get().author().equals(stored.record().author())) {
            return rejection(Kind.INVALID, "only the instance that reserved a call may release it");
        }
        calls.remove(release.callKey());
        releasedAttempts.add(release.attempt(), stored.offset());
        return Optional.empty();
    }

    private Optional<Call> findUnsettled(String callKey, String attempt) {
        return calls.find(callKey)
                .filter(call -> call.attempt().equals(attempt))
                .filter(call -> call.settlement().isEmpty());
    }

    private static Optional<Rejection> rejection(Kind kind, String detail) {
        return Optional.of(Rejection.create(kind, detail));
    }

    @Override
    public String exportState() {
        List<Call> ordered = new ArrayList<>(calls.all());
        ordered.sort(Comparator.comparingLong(Call::offset));
        return RecordCodec.encode(
                new State(clock.exportState(), horizonMillis, ordered, releasedAttempts.exportState()));
    }

    @Override
    public void importState(String exported) {
        State state = RecordCodec.decode(exported, State.class);
        clock.importState(state.clock());
        horizonMillis = state.horizonMillis();
        calls.replaceAll(state.calls());
        releasedAttempts.importState(state.released());
    }

    /**
     * The exported state of the fold.
     *
     * @param clock the state of the log clock
     * @param horizonMillis the issue time before which keys are rejected, in milliseconds since the epoch
     * @param calls the calls in the order of their reservations
     * @param released the remembered releases in the order of their offsets
     */
    private record State(
            LogClock.State clock, long horizonMillis, List<Call> calls, List<ReleasedAttempts.Released> released) {}
}
