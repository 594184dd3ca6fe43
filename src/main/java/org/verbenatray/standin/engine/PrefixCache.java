package org.verbenatray.standin.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;

/** The pieces of prompts whose KV cache is kept, least recently used evicted first. */
final class PrefixCache {
    /** The capacity in pieces. */
    private final int capacity;

    /** The pieces, least recently used first. */
    private final LinkedHashMap<Long, Boolean> pieces = new LinkedHashMap<>(16, 0.75f, true);

    /** The length of a piece in tokens. */
    private final int pieceTokens;

    /** The number of cache events. */
    private long sequence;

    /** Creates an empty cache. */
    PrefixCache(int capacity, int pieceTokens) {
        this.capacity = capacity;
        this.pieceTokens = pieceTokens;
    }

    /** Returns how many leading tokens are cached, and marks their pieces as used. */
    int leadingTokens(List<Long> hashes) {
        int count = 0;
        while (count < hashes.size() && pieces.get(hashes.get(count)) != null) {
            count++;
        }
        return count * pieceTokens;
    }

    /** Adds the pieces that were completed between two positions of a prompt and returns the cache events. */
    List<EngineEvent> complete(List<Long> hashes, int fromTokens, int toTokens, long nowNanos) {
        List<EngineEvent> events = new ArrayList<>();
        int last = Math.min(toTokens / pieceTokens, hashes.size());
        for (int piece = fromTokens / pieceTokens; piece < last; piece++) {
            long hash = hashes.get(piece);
            if (pieces.put(hash, true) == null) {
                events.add(new EngineEvent.PieceCached(nowNanos, sequence++, hash));
            }
            if (pieces.size() > capacity) {
                long oldest = pieces.keySet().iterator().next();
                pieces.remove(oldest);
                events.add(new EngineEvent.PieceEvicted(nowNanos, sequence++, oldest));
            }
        }
        return events;
    }

    /** Returns the number of pieces. */
    int size() {
        return pieces.size();
    }

    /** Forgets all pieces. */
    void clear() {
        pieces.clear();
    }
}
