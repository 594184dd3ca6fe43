package org.verbenatray.standin.engine;

/**
 * The exported KV cache of a request.
 *
 * @param request the request
 * @param nextOffset the offset of the next token to generate
 */
public record KvExport(EngineRequest request, int nextOffset) {
    /** Returns the tokens that an import transfers. */
    public int kvTokens() {
        return request.promptTokens() + nextOffset;
    }
}
