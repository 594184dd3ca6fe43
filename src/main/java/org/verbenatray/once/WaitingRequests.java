package org.verbenatray.once;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * The requests that wait for the end of another attempt with the same key. Not thread-safe: the owner provides the
 * lock.
 */
final class WaitingRequests {
    private final Map<String, List<WaitingRequest>> requestsByKey = new HashMap<>();

    private int size;

    WaitingRequests() {}

    /** Adds a waiting request. */
    void add(WaitingRequest request) {
        requestsByKey
                .computeIfAbsent(request.key().value(), key -> new ArrayList<>())
                .add(request);
        size++;
    }

    /** Returns the number of waiting requests. */
    int size() {
        return size;
    }

    /** Returns a copy of the keys that requests wait for. */
    Set<String> keys() {
        return Set.copyOf(requestsByKey.keySet());
    }

    /** Returns a copy of the list of requests that wait for a key. */
    List<WaitingRequest> forKey(String callKey) {
        return List.copyOf(requestsByKey.getOrDefault(callKey, List.of()));
    }

    /** Removes a request. Returns false if it was not waiting. */
    boolean remove(WaitingRequest request) {
        List<WaitingRequest> waiting = requestsByKey.get(request.key().value());
        if (waiting == null || !waiting.remove(request)) {
            return false;
        }
        size--;
        if (waiting.isEmpty()) {
            requestsByKey.remove(request.key().value());
        }
        return true;
    }

    /**
     * A request that waits for another attempt.
     *
     * @param key the key of the call
     * @param request the request
     * @param result the future to complete with the result
     */
    record WaitingRequest(CallKey key, AtMostOnceRequest request, CompletableFuture<AtMostOnceResult> result) {}
}
