package org.verbenatray.continuation;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * The origins of recent streams that this instance has begun or was told of, bounded in time and number.
 *
 * <p>Not thread-safe: all calls come from one thread.
 */
final class StreamOrigins {
    /** The time for which an origin is kept, longer than any stream with its continuations lasts. */
    static final long KEEP_MILLIS = 30_000;

    /** The maximum number of origins; the oldest are dropped beyond it. */
    private static final int MAX_ORIGINS = 65_536;

    private final Ticker ticker;

    /** The origins by request id, oldest first. */
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    private StreamOrigins(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Returns a collection without origins. */
    static StreamOrigins empty(Ticker ticker) {
        return new StreamOrigins(ticker);
    }

    /** Keeps an origin; told is whether its homes know it already. */
    void put(StreamOrigin origin, boolean told) {
        removeExpired();
        entries.remove(origin.requestId());
        entries.put(origin.requestId(), new Entry(origin, Deadline.afterMillis(ticker.nanos(), KEEP_MILLIS), told));
    }

    /** Returns the origin of a stream, if it is known. */
    Optional<StreamOrigin> find(String requestId) {
        return Optional.ofNullable(entries.get(requestId))
                .filter(entry -> !entry.expiry().hasPassed(ticker.nanos()))
                .map(Entry::origin);
    }

    /** Returns the origins that their homes were not told of, and marks them as told. */
    List<StreamOrigin> takeUntold() {
        removeExpired();
        List<StreamOrigin> untold = new ArrayList<>();
        entries.replaceAll((requestId, entry) -> {
            if (!entry.told()) {
                untold.add(entry.origin());
            }
            return entry.asTold();
        });
        return untold;
    }

    /** Returns the number of origins. */
    int size() {
        return entries.size();
    }

    private void removeExpired() {
        long now = ticker.nanos();
        Iterator<Entry> oldestFirst = entries.values().iterator();
        while (oldestFirst.hasNext()) {
            Entry oldest = oldestFirst.next();
            if (!oldest.expiry().hasPassed(now) && entries.size() < MAX_ORIGINS) {
                return;
            }
            oldestFirst.remove();
        }
    }

    /**
     * A kept origin.
     *
     * @param origin the origin
     * @param expiry when it is dropped
     * @param told whether its homes know it
     */
    private record Entry(StreamOrigin origin, Deadline expiry, boolean told) {
        Entry asTold() {
            return told ? this : new Entry(origin, expiry, true);
        }
    }
}
