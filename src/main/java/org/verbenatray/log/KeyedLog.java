package org.verbenatray.log;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A log whose newest record of each key is kept for good. */
public interface KeyedLog {
    /** Returns a page of the newest records, which begins after the given key. */
    CompletableFuture<Page> newest(Optional<String> after);

    /**
     * Returns the records from an offset on, waiting up to the given milliseconds for the first.
     *
     * <p>Fails with a {@link HistoryDroppedException} where they were dropped and with a
     * {@link LogUnavailableException} where the log does not answer.
     */
    CompletableFuture<List<Entry>> changes(long from, long waitMillis);

    /** Writes the newest record of a key, or drops the key. A failure leaves open whether that was done. */
    CompletableFuture<Void> put(String key, Optional<byte[]> value);

    /**
     * A record.
     *
     * @param key the key
     * @param value the value; empty where the key was dropped
     */
    record Entry(String key, Optional<byte[]> value) {}

    /**
     * Newest records of some keys.
     *
     * @param entries the records
     * @param more whether more keys follow the last one
     * @param end the offset after the last record of the log
     */
    record Page(List<Entry> entries, boolean more, long end) {}
}
