package org.verbenatray.log;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A compacted log: the newest record of each key is retained indefinitely. */
public interface KeyedLog {
    /** Returns the epoch of the log; of a log that never loses acknowledged records it stays unknown. */
    default LogEpoch epoch() {
        return LogEpoch.unknown();
    }

    /** Returns a page of the newest records by key, starting after the given key or, if empty, with the first. */
    CompletableFuture<Page> newestRecords(Optional<String> after);

    /**
     * Returns the records from an offset on, waiting up to the given time in milliseconds for the first.
     *
     * <p>Fails with an {@link OffsetNotRetainedException} when they are no longer retained, and with a
     * {@link LogUnavailableException} when the log does not respond.
     */
    CompletableFuture<List<Entry>> changes(long from, long waitMillis);

    /** Writes a record, or deletes the key if the value is empty. A failed write may still take effect. */
    default CompletableFuture<Void> put(String key, Optional<byte[]> value) {
        return putAll(List.of(new Entry(key, value)));
    }

    /** Writes several records at once, all or none of them. A failed write may still take effect. */
    CompletableFuture<Void> putAll(List<Entry> entries);

    /**
     * A record with a key.
     *
     * @param key the key
     * @param value the value, empty when the key was deleted
     */
    record Entry(String key, Optional<byte[]> value) {}

    /**
     * A page of the newest records.
     *
     * @param entries the records
     * @param more whether further pages follow
     * @param end the offset after the last record of the log
     */
    record Page(List<Entry> entries, boolean more, long end) {}
}
