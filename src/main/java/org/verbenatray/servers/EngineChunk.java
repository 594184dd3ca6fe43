package org.verbenatray.servers;

import java.util.List;

/**
 * One line of an engine's reply.
 *
 * @param dispatch the dispatch that the line belongs to
 * @param offset the offset of the first token of the line; in the last line the total number of tokens
 * @param tokens the text of each token
 * @param done whether the answer is whole and this is its last line
 * @param finish why the answer ended, such as {@code stop} or {@code length}; empty before the last line
 */
public record EngineChunk(String dispatch, int offset, List<String> tokens, boolean done, String finish) {}
