package org.verbenatray.standin.engine;

/**
 * The exported KV cache of a request, from which another engine continues decoding.
 *
 * @param request the original request
 * @param nextOffset the offset of the next token to generate
 */
public record KvExport(EngineRequest request, int nextOffset) {
    /** Returns the number of KV cache tokens that an import transfers. */
    public int kvTokens() {
        return request.promptTokens() + nextOffset;
    }
}
