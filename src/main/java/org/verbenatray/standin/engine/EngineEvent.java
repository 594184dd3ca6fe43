package org.verbenatray.standin.engine;

import java.util.List;
import org.verbenatray.configuration.EngineRole;

/** Something that happened at an engine. */
public sealed interface EngineEvent {
    /** Returns when it happened in nanoseconds of the injected clock. */
    long atNanos();

    /**
     * A token was generated.
     *
     * @param atNanos when
     * @param id the id of the request
     * @param seed the seed of the answer's text
     * @param offset the offset of the token in the answer
     */
    record TokenGenerated(long atNanos, String id, long seed, int offset) implements EngineEvent {
        /** Returns the text of the token. */
        public String text() {
            return TokenText.at(seed, offset);
        }
    }

    /**
     * The last token of an answer was generated.
     *
     * @param atNanos when
     * @param id the id of the request
     */
    record Finished(long atNanos, String id) implements EngineEvent {}

    /**
     * A prompt was processed and its KV cache waits for export.
     *
     * @param atNanos when
     * @param export what an importing engine needs
     */
    record PrefillFinished(long atNanos, KvExport export) implements EngineEvent {}

    /**
     * A transfer of KV cache to this engine is complete, so that the exporting engine may release it.
     *
     * @param atNanos when
     * @param id the id of the request
     */
    record KvImported(long atNanos, String id) implements EngineEvent {}

    /**
     * A request that had not started was given back because the engine changes its role or version.
     *
     * @param atNanos when
     * @param id the id of the request
     */
    record Returned(long atNanos, String id) implements EngineEvent {}

    /**
     * A piece of a prompt was added to the prefix cache.
     *
     * @param atNanos when
     * @param sequence the number of the cache event, without gaps from 0
     * @param hash the chained hash of the piece
     */
    record PieceCached(long atNanos, long sequence, long hash) implements EngineEvent {}

    /**
     * A piece of a prompt was evicted from the prefix cache.
     *
     * @param atNanos when
     * @param sequence the number of the cache event, without gaps from 0
     * @param hash the chained hash of the piece
     */
    record PieceEvicted(long atNanos, long sequence, long hash) implements EngineEvent {}

    /**
     * The engine serves in a new role.
     *
     * @param atNanos when
     * @param role the role
     */
    record RoleChanged(long atNanos, EngineRole role) implements EngineEvent {}

    /**
     * The engine serves a version of a model.
     *
     * @param atNanos when
     * @param model the model
     * @param version the version
     */
    record ModelLoaded(long atNanos, String model, String version) implements EngineEvent {}

    /**
     * The engine crashed and lost its requests and caches.
     *
     * @param atNanos when
     * @param lost the ids of the lost requests
     */
    record Crashed(long atNanos, List<String> lost) implements EngineEvent {}
}
