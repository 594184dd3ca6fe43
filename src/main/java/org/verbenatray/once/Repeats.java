package org.verbenatray.once;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** The requests that wait for the end of another attempt, by key; the owner provides the lock. */
final class Repeats {
    /** The waiting requests by key. */
    private final Map<String, List<Repeat>> waiting = new HashMap<>();

    /** The number of waiting requests. */
    private int size;

    /** Creates an empty table. */
    Repeats() {}

    /** Adds a request. */
    void add(Repeat repeat) {
        waiting.computeIfAbsent(repeat.key().value(), key -> new ArrayList<>()).add(repeat);
        size++;
    }

    /** Returns the number of waiting requests. */
    int size() {
        return size;
    }

    /** Returns the keys that requests wait for. */
    Set<String> keys() {
        return Set.copyOf(waiting.keySet());
    }

    /** Returns the requests that wait for a key. */
    List<Repeat> of(String callKey) {
        return List.copyOf(waiting.getOrDefault(callKey, List.of()));
    }

    /** Removes a request; false when it was not waiting. */
    boolean remove(Repeat repeat) {
        List<Repeat> same = waiting.get(repeat.key().value());
        if (same == null || !same.remove(repeat)) {
            return false;
        }
        size--;
        if (same.isEmpty()) {
            waiting.remove(repeat.key().value());
        }
        return true;
    }

    /**
     * A waiting request.
     *
     * @param key the key of the call
     * @param request the request
     * @param result completes with the result
     */
    record Repeat(CallKey key, OnceRequest request, CompletableFuture<OnceResult> result) {}
}
