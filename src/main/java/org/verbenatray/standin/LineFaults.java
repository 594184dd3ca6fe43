package org.verbenatray.standin;

import java.util.List;
import org.verbenatray.servers.EngineChunk;

/** Applies the configured {@link EngineFaults} to the lines of one streamed response. Used by one thread. */
final class LineFaults {
    private int lineCount;

    LineFaults() {}

    /** Counts one line and returns the lines to send instead of it. */
    List<EngineChunk> apply(EngineChunk chunk, EngineFaults faults) {
        lineCount++;
        if (isDue(faults.dropEvery())) {
            return List.of();
        }
        if (isDue(faults.wrongDispatchEvery())) {
            return List.of(EngineChunk.tokens("another-" + lineCount, chunk.offset(), List.of(" wrong")), chunk);
        }
        return isDue(faults.repeatEvery()) ? List.of(chunk, chunk) : List.of(chunk);
    }

    /** Returns whether the connection is to be closed after the current line. */
    boolean closesConnection(EngineFaults faults) {
        return isDue(faults.cutEvery());
    }

    /** Returns whether a fault with the given period applies to the current line. */
    private boolean isDue(int every) {
        return every > 0 && lineCount % every == 0;
    }
}
