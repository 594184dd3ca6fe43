package org.verbenatray.standin;

import java.util.List;
import org.verbenatray.servers.EngineChunk;

/** Damages the lines of one reply as the faults of the engine demand. */
final class LineFaults {
    /** The lines so far. */
    private int lines;

    /** Creates a counter for one reply. */
    LineFaults() {}

    /** Returns the lines to send in place of one line. */
    List<EngineChunk> apply(EngineChunk chunk, EngineFaults faults) {
        lines++;
        if (due(faults.dropEvery())) {
            return List.of();
        }
        if (due(faults.wrongDispatchEvery())) {
            return List.of(EngineChunk.tokens("another-" + lines, chunk.offset(), List.of(" wrong")), chunk);
        }
        return due(faults.repeatEvery()) ? List.of(chunk, chunk) : List.of(chunk);
    }

    /** Returns whether the connection is to be closed now. */
    boolean cut(EngineFaults faults) {
        return due(faults.cutEvery());
    }

    /** Returns whether a fault with the given period is due at this line. */
    private boolean due(int every) {
        return every > 0 && lines % every == 0;
    }
}
