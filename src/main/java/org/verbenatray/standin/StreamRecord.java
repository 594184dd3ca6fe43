package org.verbenatray.standin;

import java.util.ArrayList;
import java.util.List;
import org.verbenatray.standin.engine.TokenText;

/** What a stand-in engine keeps of one dispatch, so that its stream can be resumed; used on the engine's thread. */
final class StreamRecord {
    /** The id of the dispatch. */
    private final String dispatch;

    /** The seed of the text. */
    private final long seed;

    /** The offset of the first token of this dispatch. */
    private final int startOffset;

    /** The offset after the last generated token. */
    private int generated;

    /** Whether the last token was generated. */
    private boolean finished;

    /** Whether the dispatch was given back without being run to its end. */
    private boolean lost;

    /** The replies that follow the stream. */
    private final List<StreamReply> replies = new ArrayList<>();

    /** Creates the record of a dispatch. */
    StreamRecord(String dispatch, long seed, int startOffset) {
        this.dispatch = dispatch;
        this.seed = seed;
        this.startOffset = startOffset;
        this.generated = startOffset;
    }

    /** Returns the offset after the last generated token. */
    int generated() {
        return generated;
    }

    /** Returns whether the last token was generated. */
    boolean isFinished() {
        return finished;
    }

    /** Adds a reply that follows the stream from a token offset. */
    void follow(StreamReply reply, int fromOffset) {
        for (int offset = Math.max(startOffset, fromOffset); offset < generated; offset++) {
            reply.token(dispatch, offset, TokenText.at(seed, offset));
        }
        if (finished) {
            reply.done(dispatch, generated);
        } else if (lost) {
            reply.lost();
        } else {
            replies.add(reply);
        }
    }

    /** Records a generated token. */
    void token(int offset) {
        generated = offset + 1;
        replies.forEach(reply -> reply.token(dispatch, offset, TokenText.at(seed, offset)));
    }

    /** Records the end. */
    void finish() {
        finished = true;
        replies.forEach(reply -> reply.done(dispatch, generated));
        replies.clear();
    }

    /** Records that the prompt was processed and its KV cache waits for another engine. */
    void export(String kv) {
        replies.forEach(reply -> reply.exported(dispatch, generated, kv));
        replies.clear();
    }

    /** Records that the dispatch is lost. */
    void lose() {
        lost = true;
        replies.forEach(StreamReply::lost);
        replies.clear();
    }
}
