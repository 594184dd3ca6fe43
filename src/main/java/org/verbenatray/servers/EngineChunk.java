package org.verbenatray.servers;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Optional;

/**
 * One line of an engine's reply.
 *
 * @param dispatch the dispatch that the line belongs to
 * @param offset the offset of the first token of the line; in the last line the total number of tokens
 * @param tokens the text of each token
 * @param done whether the answer is whole and this is its last line
 * @param finish why the answer ended, such as {@code stop} or {@code length}; empty before the last line
 * @param kv the exported KV cache for another engine, in the last line of an engine that only processed the prompt
 */
@JsonInclude(JsonInclude.Include.NON_ABSENT)
public record EngineChunk(
        String dispatch, int offset, List<String> tokens, boolean done, String finish, Optional<String> kv) {
    /** Returns a line with tokens. */
    public static EngineChunk tokens(String dispatch, int offset, List<String> tokens) {
        return new EngineChunk(dispatch, offset, tokens, false, "", Optional.empty());
    }

    /** Returns the last line of a whole answer. */
    public static EngineChunk end(String dispatch, int total, String finish) {
        return new EngineChunk(dispatch, total, List.of(), true, finish, Optional.empty());
    }

    /** Returns the last line of an engine that only processed the prompt. */
    public static EngineChunk exported(String dispatch, int next, String kv) {
        return new EngineChunk(dispatch, next, List.of(), false, "", Optional.of(kv));
    }
}
