package org.verbenatray.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which engines hold which pieces of prompts in their prefix caches, by chained hashes. Thread-safe; bounded by the
 * pieces per engine, of which the least recently used are forgotten first.
 */
public final class PrefixIndex {
    /** The usual bound on the pieces per engine: what a KV cache of about 500,000 tokens can hold. */
    public static final int DEFAULT_PIECES_PER_ENGINE = 256;

    /** The divisor of the hits on an engine whose events had a gap. */
    private static final int DOUBTFUL_DIVISOR = 2;

    /** The holders of one piece that are looked at in the search for the best hits. */
    private static final int MAX_HOLDERS_READ = 64;

    /** The bound on the pieces per engine. */
    private final int piecesPerEngine;

    /** The cached pieces by engine. */
    private final Map<String, EnginePieces> engines = new HashMap<>();

    /** The engines that hold a piece, by its hash. */
    private final Map<Long, Set<String>> holders = new HashMap<>();

    /** Creates an instance from its parts. */
    private PrefixIndex(int piecesPerEngine) {
        this.piecesPerEngine = piecesPerEngine;
    }

    /** Returns an empty index with the given bound on the pieces per engine. */
    public static PrefixIndex create(int piecesPerEngine) {
        return new PrefixIndex(piecesPerEngine);
    }

    /** Applies an event of an engine; a gap before it makes the engine doubtful, an older event is ignored. */
    public synchronized void onEvent(String engine, CacheEvent event) {
        EnginePieces pieces = current(engine, event.incarnation());
        if (pieces.incarnation > event.incarnation() || pieces.sequence >= event.sequence()) {
            return;
        }
        if (pieces.sequence + 1 != event.sequence()) {
            pieces.doubtful = true;
        }
        pieces.sequence = event.sequence();
        event.evicted().forEach(hash -> drop(engine, pieces, hash));
        event.added().forEach(hash -> hold(engine, pieces, hash));
    }

    /** Replaces what is known of an engine by its complete list, which covers the events up to the given one. */
    public synchronized void onResync(String engine, long incarnation, long sequence, List<Long> held) {
        clear(engine);
        EnginePieces pieces = new EnginePieces();
        pieces.incarnation = incarnation;
        pieces.sequence = sequence;
        engines.put(engine, pieces);
        held.forEach(hash -> hold(engine, pieces, hash));
    }

    /** Expects an engine to hold the pieces of a prompt that was sent to it. */
    public synchronized void onDispatch(String engine, List<Long> hashes) {
        EnginePieces pieces = engines.computeIfAbsent(engine, name -> new EnginePieces());
        hashes.forEach(hash -> hold(engine, pieces, hash));
    }

    /** Forgets an engine, because it was started anew or removed. */
    public synchronized void clear(String engine) {
        EnginePieces pieces = engines.remove(engine);
        if (pieces != null) {
            pieces.held.keySet().forEach(hash -> removeHolder(engine, hash));
        }
    }

    /** Returns whether events of the engine were missed since its last complete list. */
    public synchronized boolean doubtful(String engine) {
        EnginePieces pieces = engines.get(engine);
        return pieces != null && pieces.doubtful;
    }

    /** Returns the prompt tokens that the engine is expected to hold, half of them when it is doubtful. */
    public synchronized int cachedTokens(String engine, List<Long> hashes, int promptTokens) {
        EnginePieces pieces = engines.get(engine);
        if (pieces == null) {
            return 0;
        }
        long tokens = (long) leading(pieces, hashes) * PromptPieces.PIECE_TOKENS;
        if (pieces.doubtful) {
            tokens /= DOUBTFUL_DIVISOR;
        }
        return (int) Math.min(promptTokens, tokens);
    }

    /** Returns the engines with the most leading pieces of a prompt, longest first and at most the given number. */
    public synchronized List<PrefixHit> best(List<Long> hashes, int limit) {
        List<PrefixHit> hits = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (int last = hashes.size() - 1; last >= 0 && hits.size() < limit; last--) {
            Iterator<String> names =
                    holders.getOrDefault(hashes.get(last), Set.of()).iterator();
            for (int read = 0; read < MAX_HOLDERS_READ && hits.size() < limit && names.hasNext(); read++) {
                String engine = names.next();
                if (!seen.contains(engine) && leading(engines.get(engine), hashes) == last + 1) {
                    seen.add(engine);
                    hits.add(new PrefixHit(engine, last + 1));
                }
            }
        }
        return hits;
    }

    /** Returns the number of pieces of all engines. */
    public synchronized int size() {
        return engines.values().stream().mapToInt(pieces -> pieces.held.size()).sum();
    }

    /** Returns the pieces of an engine, none when the given incarnation is newer than the known one. */
    private EnginePieces current(String engine, long incarnation) {
        EnginePieces pieces = engines.get(engine);
        if (pieces != null && pieces.incarnation < incarnation && pieces.sequence >= 0) {
            clear(engine);
            pieces = null;
        }
        if (pieces == null) {
            pieces = new EnginePieces();
            engines.put(engine, pieces);
        }
        pieces.incarnation = Math.max(pieces.incarnation, incarnation);
        return pieces;
    }

    /** Returns the number of leading hashes that are all held. */
    private static int leading(EnginePieces pieces, List<Long> hashes) {
        int count = 0;
        while (count < hashes.size() && pieces.held.containsKey(hashes.get(count))) {
            count++;
        }
        return count;
    }

    /** Adds a piece or marks it as recently used. */
    private void hold(String engine, EnginePieces pieces, Long hash) {
        pieces.held.put(hash, Boolean.TRUE);
        holders.computeIfAbsent(hash, key -> new LinkedHashSet<>()).add(engine);
        if (pieces.held.size() > piecesPerEngine) {
            Long oldest = pieces.held.keySet().iterator().next();
            drop(engine, pieces, oldest);
        }
    }

    /** Removes a piece. */
    private void drop(String engine, EnginePieces pieces, Long hash) {
        pieces.held.remove(hash);
        removeHolder(engine, hash);
    }

    /** Removes an engine from the holders of a piece. */
    private void removeHolder(String engine, Long hash) {
        Set<String> names = holders.get(hash);
        if (names == null) {
            return;
        }
        names.remove(engine);
        if (names.isEmpty()) {
            holders.remove(hash);
        }
    }

    /** The pieces that one engine holds. */
    private static final class EnginePieces {
        /** The held hashes, least recently used first. */
        private final Map<Long, Boolean> held = new LinkedHashMap<>(16, 0.75f, true);

        /** The incarnation of the last event. */
        private long incarnation;

        /** The sequence number of the last event, -1 before the first. */
        private long sequence = -1;

        /** Whether events were missed. */
        private boolean doubtful;
    }
}
