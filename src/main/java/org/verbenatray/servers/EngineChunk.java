package org.verbenatray.servers;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Optional;

/**
 * One line of an engine's response stream.
 *
 * @param dispatch the dispatch that the line belongs to
 * @param offset the offset of the first token of the line; in the last line the total number of tokens of the response
 * @param tokens the text of each token
 * @param done whether this is the last line of a complete response
 * @param finish the reason why the response ended, such as {@code stop} or {@code length}; empty before the last line
 * @param kv the exported KV cache for another engine, in the last line of a prefill
 */
@JsonInclude(JsonInclude.Include.NON_ABSENT)
public record EngineChunk(
        String dispatch, int offset, List<String> tokens, boolean done, String finish, Optional<String> kv) {
    /** Returns a line with tokens. */
    public static EngineChunk tokens(String dispatch, int offset, List<String> tokens) {
        return new EngineChunk(dispatch, offset, tokens, false, "", Optional.empty());
    }

    /** Returns the last line of a complete response. */
    public static EngineChunk end(String dispatch, int totalTokens, String finish) {
        return new EngineChunk(dispatch, totalTokens, List.of(), true, finish, Optional.empty());
    }

    /** Returns the last line of a prefill, which carries the exported KV cache. */
    public static EngineChunk exported(String dispatch, int nextOffset, String kv) {
        return new EngineChunk(dispatch, nextOffset, List.of(), false, "", Optional.of(kv));
    }
}
