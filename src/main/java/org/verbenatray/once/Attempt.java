package org.verbenatray.once;

import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.verbenatray.log.RecordBody.CallReservation;

/**
 * One attempt of this instance to run a call, with its phase. Thread-safe; each phase change succeeds for one caller
 * only.
 */
final class Attempt {
    private final String id = UUID.randomUUID().toString();

    private final CallKey key;

    private final AtMostOnceRequest request;

    private final Sender sender;

    private final CompletableFuture<AtMostOnceResult> result = new CompletableFuture<>();

    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.RESERVING);

    /** Ticker time in nanoseconds at which sending began; meaningful only from {@link Phase#SENDING} on. */
    private volatile long sentNanos;

    private Attempt(CallKey key, AtMostOnceRequest request, Sender sender) {
        this.key = key;
        this.request = request;
        this.sender = sender;
    }

    /** Returns a new attempt with a random id, in the phase {@link Phase#RESERVING}. */
    static Attempt create(CallKey key, AtMostOnceRequest request, Sender sender) {
        return new Attempt(key, request, sender);
    }

    /** Returns the id of the attempt. */
    String id() {
        return id;
    }

    /** Returns the key of the call. */
    CallKey key() {
        return key;
    }

    /** Returns the request. */
    AtMostOnceRequest request() {
        return request;
    }

    /** Returns the future that completes with the caller's result. */
    CompletableFuture<AtMostOnceResult> result() {
        return result;
    }

    /** Returns the function that sends the call. */
    Sender sender() {
        return sender;
    }

    /** Returns the record that reserves the key for this attempt. */
    CallReservation reservation(String instance) {
        return new CallReservation(key.value(), request.bodyHash(), instance, id, key.issuedMillis());
    }

    /** Moves from reserving to sending. Returns false if the attempt was abandoned. */
    boolean tryStartSending(long nowNanos) {
        sentNanos = nowNanos;
        return phase.compareAndSet(Phase.RESERVING, Phase.SENDING);
    }

    /** Ends the attempt before anything is sent. Returns false if sending has begun or the attempt has ended. */
    boolean tryAbandon() {
        return phase.compareAndSet(Phase.RESERVING, Phase.ENDED);
    }

    /** Ends an attempt that was sent. Returns false if it is not in the phase {@link Phase#SENDING}. */
    boolean tryEnd() {
        return phase.compareAndSet(Phase.SENDING, Phase.ENDED);
    }

    /** Returns whether sending began before the given ticker time and the attempt has not ended. */
    boolean isSendingSinceBefore(long beforeNanos) {
        return phase.get() == Phase.SENDING && sentNanos - beforeNanos < 0;
    }

    /** The phases of an attempt. */
    private enum Phase {
        /** No verdict on the reservation is known yet, and nothing was sent. */
        RESERVING,
        /** The call may have been sent. */
        SENDING,
        /** The attempt ended or was abandoned. */
        ENDED
    }
}
