package org.verbenatray.once;

import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.verbenatray.log.RecordBody.CallReservation;

/** One try to run a call at this instance. */
final class Attempt {
    /** The id of the attempt. */
    private final String id = UUID.randomUUID().toString();

    /** The key of the call. */
    private final CallKey key;

    /** The request. */
    private final OnceRequest request;

    /** Sends the call. */
    private final Sender sender;

    /** Completes with the result for the caller. */
    private final CompletableFuture<OnceResult> result = new CompletableFuture<>();

    /** How far the attempt is. */
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.RESERVING);

    /** When the call was sent, in nanoseconds of the ticker. */
    private volatile long sentNanos;

    /** Creates an attempt. */
    private Attempt(CallKey key, OnceRequest request, Sender sender) {
        this.key = key;
        this.request = request;
        this.sender = sender;
    }

    /** Returns a new attempt. */
    static Attempt create(CallKey key, OnceRequest request, Sender sender) {
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
    OnceRequest request() {
        return request;
    }

    /** Returns the future of the result for the caller. */
    CompletableFuture<OnceResult> result() {
        return result;
    }

    /** Returns the sender. */
    Sender sender() {
        return sender;
    }

    /** Returns the record that reserves the key for this attempt. */
    CallReservation reservation(String instance) {
        return new CallReservation(key.value(), request.bodyHash(), instance, id, key.issuedMillis());
    }

    /** Moves on to sending; false when the attempt was abandoned. */
    boolean startSending(long nowNanos) {
        sentNanos = nowNanos;
        return phase.compareAndSet(Phase.RESERVING, Phase.SENDING);
    }

    /** Gives the attempt up before anything was sent; false when it is past that. */
    boolean abandon() {
        return phase.compareAndSet(Phase.RESERVING, Phase.ENDED);
    }

    /** Ends a sent attempt; false when it had ended. */
    boolean end() {
        return phase.compareAndSet(Phase.SENDING, Phase.ENDED);
    }

    /** Returns whether the call was sent before the given time and has not ended. */
    boolean isSendingSince(long beforeNanos) {
        return phase.get() == Phase.SENDING && sentNanos - beforeNanos < 0;
    }

    /** How far an attempt is. */
    private enum Phase {
        /** Its reservation is not judged; nothing was sent. */
        RESERVING,
        /** It may have been sent. */
        SENDING,
        /** It ended or was abandoned. */
        ENDED
    }
}
