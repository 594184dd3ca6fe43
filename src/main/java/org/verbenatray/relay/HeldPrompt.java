package org.verbenatray.relay;

import java.util.Optional;
import org.verbenatray.time.Deadline;

/**
 * The prompt of one request that a prefill engine holds for the next decode engine, until that one has fetched it or
 * the prefill engine drops it. Used on one thread.
 */
final class HeldPrompt {
    /** Time within which an engine must confirm that it has released a prompt. */
    private static final long RELEASE_TIMEOUT_MILLIS = 1_000;

    private static final int MAX_RESPONSE_BYTES = 1_024;

    private final RelayContext context;

    /** Null if none is held. */
    private PrefilledPrompt prompt;

    /** When the prefill engine drops the prompt. */
    private Deadline expiry;

    private HeldPrompt(RelayContext context) {
        this.context = context;
    }

    /** Returns an object without a prompt. */
    static HeldPrompt none(RelayContext context) {
        return new HeldPrompt(context);
    }

    /** Takes a prompt that its prefill engine holds for the given time. */
    void hold(PrefilledPrompt prefilled, long holdMillis) {
        prompt = prefilled;
        expiry = Deadline.afterMillis(context.ticker().nanos(), holdMillis);
    }

    /** Returns the prompt; empty if none is held or its prefill engine has dropped it. */
    Optional<PrefilledPrompt> current() {
        if (prompt != null && expiry.hasPassed(context.ticker().nanos())) {
            prompt = null;
        }
        return Optional.ofNullable(prompt);
    }

    /** Records that a decode engine has fetched the prompt; returns whether one was held. */
    boolean recordFetched() {
        boolean held = prompt != null;
        prompt = null;
        return held;
    }

    /** Makes the prefill engine drop the prompt. */
    void release() {
        if (prompt == null) {
            return;
        }
        PrefilledPrompt released = prompt;
        prompt = null;
        context.transport()
                .call(
                        context.dialect().release(released),
                        context.thread(),
                        Deadline.afterMillis(context.ticker().nanos(), RELEASE_TIMEOUT_MILLIS),
                        MAX_RESPONSE_BYTES)
                .thenAccept(response -> context.statements().recordStatusAnswer(released.engine(), response))
                .exceptionally(failure -> null);
    }
}
