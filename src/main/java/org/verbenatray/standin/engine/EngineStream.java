package org.verbenatray.standin.engine;

import java.util.Comparator;

/** The state of one request at an engine. */
final class EngineStream {
    /** Serves the higher priority first, then the earlier arrival. */
    static final Comparator<EngineStream> BY_PRIORITY = Comparator.comparingInt(
                    (EngineStream stream) -> -stream.request.priority())
            .thenComparingLong(stream -> stream.sequence);

    /** The request. */
    final EngineRequest request;

    /** The number of the arrival. */
    final long sequence;

    /** Where the request stands. */
    Stage stage;

    /** The offset of the next token to generate. */
    int nextOffset;

    /** The context tokens that are in KV cache. */
    int prefilledTokens;

    /** The tokens reserved in KV cache. */
    long reservedTokens;

    /** When the import of KV cache is complete. */
    long importedNanos;

    /** Creates the state of a request that waits. */
    EngineStream(EngineRequest request, long sequence, int nextOffset, Stage stage) {
        this.request = request;
        this.sequence = sequence;
        this.nextOffset = nextOffset;
        this.stage = stage;
    }

    /** Returns the context tokens that are still to be processed. */
    int remainingPrefill() {
        return request.contextTokens() - prefilledTokens;
    }

    /** Returns whether the answer is whole. */
    boolean complete() {
        return nextOffset >= request.outputTokens();
    }

    /** Where a request stands at an engine. */
    enum Stage {
        /** Waits for its prompt to be processed. */
        WAITING,
        /** Its prompt is being processed. */
        PREFILLING,
        /** Its KV cache is on the way from another engine. */
        IMPORTING,
        /** Its KV cache is there and it waits for a place in the batch. */
        IMPORTED,
        /** It generates tokens. */
        DECODING,
        /** Its KV cache is kept for export. */
        HELD,
        /** It ended. */
        ENDED
    }
}
