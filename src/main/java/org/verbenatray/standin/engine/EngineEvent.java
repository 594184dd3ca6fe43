package org.verbenatray.standin.engine;

import java.util.List;
import org.verbenatray.configuration.EngineRole;

/**
 * An event that an {@link EngineModel} emits. Times are nanoseconds of the clock whose readings are passed to the
 * model.
 */
public sealed interface EngineEvent {
    /** Returns the time of the event in nanoseconds. */
    long atNanos();

    /**
     * A token was generated.
     *
     * @param atNanos the time of the event in nanoseconds
     * @param id the id of the request
     * @param seed the seed of the generated text
     * @param offset the offset of the token in the output
     */
    record TokenGenerated(long atNanos, String id, long seed, int offset) implements EngineEvent {
        /** Returns the text of the token. */
        public String text() {
            return TokenText.tokenAt(seed, offset);
        }
    }

    /**
     * The last token of a request was generated.
     *
     * @param atNanos the time of the event in nanoseconds
     * @param id the id of the request
     */
    record RequestFinished(long atNanos, String id) implements EngineEvent {}

    /**
     * The prefill of a prefill-only request finished. Its KV cache is kept for export.
     *
     * @param atNanos the time of the event in nanoseconds
     * @param export the data that an importing engine needs
     */
    record PrefillFinished(long atNanos, KvExport export) implements EngineEvent {}

    /**
     * The import of a KV cache is complete. The exporting engine may release its copy.
     *
     * @param atNanos the time of the event in nanoseconds
     * @param id the id of the request
     */
    record KvImported(long atNanos, String id) implements EngineEvent {}

    /**
     * A request whose prefill had not started was dropped because the engine changes its role or a model version. The
     * client has to send it to another engine.
     *
     * @param atNanos the time of the event in nanoseconds
     * @param id the id of the request
     */
    record RequestReturned(long atNanos, String id) implements EngineEvent {}

    /**
     * A prompt block was added to the prefix cache.
     *
     * @param atNanos the time of the event in nanoseconds
     * @param sequence the sequence number of the cache event; starts at 0 without gaps
     * @param hash the hash of the block, chained with those of the blocks before it
     */
    record BlockCached(long atNanos, long sequence, long hash) implements EngineEvent {}

    /**
     * A prompt block was evicted from the prefix cache.
     *
     * @param atNanos the time of the event in nanoseconds
     * @param sequence the sequence number of the cache event; starts at 0 without gaps
     * @param hash the hash of the block, chained with those of the blocks before it
     */
    record BlockEvicted(long atNanos, long sequence, long hash) implements EngineEvent {}

    /**
     * A role change finished.
     *
     * @param atNanos the time of the event in nanoseconds
     * @param role the new role
     */
    record RoleChanged(long atNanos, EngineRole role) implements EngineEvent {}

    /**
     * A model version was loaded and is served now.
     *
     * @param atNanos the time of the event in nanoseconds
     * @param model the model
     * @param version the version
     */
    record ModelLoaded(long atNanos, String model, String version) implements EngineEvent {}

    /**
     * The engine crashed. All its requests and its prefix cache are lost.
     *
     * @param atNanos the time of the event in nanoseconds
     * @param lost the ids of the lost requests
     */
    record EngineCrashed(long atNanos, List<String> lost) implements EngineEvent {}
}
