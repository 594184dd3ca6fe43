package org.verbenatray.standin.engine;

import java.util.List;

/**
 * One step of continuous batching: decodes one token of each stream in the batch and prefills chunks of prompts.
 *
 * @param endNanos the end of the step in nanoseconds
 * @param batch the streams that each generate one token
 * @param chunks the prompt chunks that are processed
 */
record EngineStep(long endNanos, List<EngineStream> batch, List<Chunk> chunks) {
    /**
     * A chunk of a prompt.
     *
     * @param stream the request
     * @param tokens the number of tokens to process
     */
    record Chunk(EngineStream stream, int tokens) {}
}
