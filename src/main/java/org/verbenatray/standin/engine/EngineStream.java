package org.verbenatray.standin.engine;

import java.util.Comparator;

/** The mutable state of one request at an {@link EngineModel}. Not thread-safe. */
final class EngineStream {
    /** Orders by descending priority, then by arrival. */
    static final Comparator<EngineStream> BY_PRIORITY = Comparator.comparingInt(
                    (EngineStream stream) -> -stream.request.priority())
            .thenComparingLong(stream -> stream.arrivalSequence);

    /** The request as received. */
    final EngineRequest request;

    /** The arrival number of the request at the engine. */
    final long arrivalSequence;

    /** The current stage. */
    Stage stage;

    /** The offset of the next token to generate. */
    int nextOffset;

    /** The number of context tokens in the KV cache. */
    int prefilledTokens;

    /** The number of tokens reserved in the KV cache; 0 before the reservation. */
    long reservedTokens;

    /** The time in nanoseconds at which the KV cache import completes. */
    long importEndNanos;

    EngineStream(EngineRequest request, long sequence, int nextOffset, Stage stage) {
        this.request = request;
        this.arrivalSequence = sequence;
        this.nextOffset = nextOffset;
        this.stage = stage;
    }

    /** Returns the number of context tokens not yet processed. */
    int remainingPrefill() {
        return request.contextTokens() - prefilledTokens;
    }

    /** Returns whether all output tokens have been generated. */
    boolean isComplete() {
        return nextOffset >= request.outputTokens();
    }

    /** The stages of a request at an engine. */
    enum Stage {
        /** Queued for prefill. */
        WAITING,
        /** Prefill is in progress. */
        PREFILLING,
        /** The KV cache is being transferred from another engine. */
        IMPORTING,
        /** The KV cache transfer is complete and the request is queued for the batch. */
        IMPORTED,
        /** In the batch, generating tokens. */
        DECODING,
        /** Stopped, with the KV cache kept for export. */
        HELD,
        /** Finished, cancelled, returned or lost in a crash. */
        ENDED
    }
}
