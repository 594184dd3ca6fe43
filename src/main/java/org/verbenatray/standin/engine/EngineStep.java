package org.verbenatray.standin.engine;

import java.util.List;

/**
 * A step of an engine.
 *
 * @param endNanos when it ends
 * @param batch the streams that decode
 * @param chunks the prompt tokens that are processed
 */
record EngineStep(long endNanos, List<EngineStream> batch, List<Chunk> chunks) {
    /**
     * A part of a prompt.
     *
     * @param stream the request
     * @param tokens the tokens to process
     */
    record Chunk(EngineStream stream, int tokens) {}
}
