package org.verbenatray.standin;

import java.util.ArrayList;
import java.util.List;
import org.verbenatray.standin.engine.TokenText;

/**
 * State of one dispatch that a stand-in engine keeps so that clients can resume its stream. Confined to the engine's
 * thread.
 */
final class StreamRecord {
    private final String dispatch;

    private final long seed;

    /** The offset of the first token of this dispatch. */
    private final int startOffset;

    /** The offset of the next token to generate. */
    private int nextOffset;

    /** Whether the last token has been generated. */
    private boolean finished;

    /** Whether the dispatch was cancelled, returned or lost in a crash. */
    private boolean aborted;

    /** The open responses to which new tokens are sent. */
    private final List<EngineStreamResponse> responses = new ArrayList<>();

    StreamRecord(String dispatch, long seed, int startOffset) {
        this.dispatch = dispatch;
        this.seed = seed;
        this.startOffset = startOffset;
        this.nextOffset = startOffset;
    }

    /** Returns the offset of the next token to generate. */
    int nextOffset() {
        return nextOffset;
    }

    /** Returns whether the last token has been generated. */
    boolean isFinished() {
        return finished;
    }

    /**
     * Sends the tokens generated so far from an offset to a response, then subscribes it to further tokens. If the
     * stream has ended, the response is ended or its connection closed instead.
     */
    void addResponse(EngineStreamResponse response, int fromOffset) {
        for (int offset = Math.max(startOffset, fromOffset); offset < nextOffset; offset++) {
            response.sendToken(dispatch, offset, TokenText.tokenAt(seed, offset));
        }
        if (finished) {
            response.sendEnd(dispatch, nextOffset);
        } else if (aborted) {
            response.closeConnection();
        } else {
            responses.add(response);
        }
    }

    /** Records a generated token and sends it to all open responses. */
    void addToken(int offset) {
        nextOffset = offset + 1;
        responses.forEach(response -> response.sendToken(dispatch, offset, TokenText.tokenAt(seed, offset)));
    }

    /** Marks the stream as finished and ends all responses. */
    void finish() {
        finished = true;
        responses.forEach(response -> response.sendEnd(dispatch, nextOffset));
        responses.clear();
    }

    /** Ends all responses with the encoded KV cache as the final line, for import by another engine. */
    void sendKvExport(String kv) {
        responses.forEach(response -> response.sendKvExport(dispatch, nextOffset, kv));
        responses.clear();
    }

    /** Marks the stream as aborted and closes the connections of all responses. */
    void abort() {
        aborted = true;
        responses.forEach(EngineStreamResponse::closeConnection);
        responses.clear();
    }
}
