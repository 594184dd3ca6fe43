package org.verbenatray.once;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.verbenatray.log.Appender;
import org.verbenatray.log.RecordBody;
import org.verbenatray.time.Timing;

/**
 * Outcome and release records that are not yet known to be in the log. Each is appended again until its verdict is
 * read. Thread-safe.
 */
final class UnconfirmedRecords {
    private static final int MAX_PER_FLUSH = 64;

    private final Appender appender;

    /** Maximum wait for a verdict in milliseconds. */
    private final long timeoutMillis;

    private final Timing timing;

    /** Records by attempt id, oldest first. */
    private final Map<String, UnconfirmedRecord> pending = new LinkedHashMap<>();

    private UnconfirmedRecords(Appender appender, long timeoutMillis, Timing timing) {
        this.appender = appender;
        this.timeoutMillis = timeoutMillis;
        this.timing = timing;
    }

    /** Returns an empty list whose appends wait up to the given time for a verdict. */
    static UnconfirmedRecords create(Appender appender, long timeoutMillis, Timing timing) {
        return new UnconfirmedRecords(appender, timeoutMillis, timing);
    }

    /** Adds the record that ends an attempt, unless the attempt has one already. Does not append it to the log. */
    synchronized void add(String attempt, RecordBody body) {
        pending.putIfAbsent(attempt, new UnconfirmedRecord(attempt, body, false));
    }

    /** Returns the number of unconfirmed records. */
    synchronized int size() {
        return pending.size();
    }

    /** Returns the unconfirmed outcome or release of an attempt, if any. */
    synchronized Optional<RecordBody> find(String attempt) {
        return Optional.ofNullable(pending.get(attempt)).map(UnconfirmedRecord::body);
    }

    /** Appends a batch of records that have no append in flight. */
    void flush() {
        for (UnconfirmedRecord record : takeBatch()) {
            appender.submit(record.body(), Optional.empty(), timing.deadlineAfterMillis(timeoutMillis))
                    .whenComplete((verdict, error) -> handleCompletion(record, error == null));
        }
    }

    /** Marks up to {@link #MAX_PER_FLUSH} idle records as in flight and returns them. */
    private synchronized List<UnconfirmedRecord> takeBatch() {
        List<UnconfirmedRecord> batch = new ArrayList<>();
        for (UnconfirmedRecord record : pending.values()) {
            if (!record.inFlight() && batch.size() < MAX_PER_FLUSH) {
                batch.add(record);
            }
        }
        batch.forEach(record -> pending.put(record.attempt(), record.withInFlight(true)));
        return batch;
    }

    /** Removes a record that has a verdict, whatever it is. Keeps a record without one for the next flush. */
    private synchronized void handleCompletion(UnconfirmedRecord record, boolean hasVerdict) {
        if (hasVerdict) {
            pending.remove(record.attempt());
        } else {
            pending.computeIfPresent(record.attempt(), (attempt, present) -> present.withInFlight(false));
        }
    }

    /**
     * The record that ends one attempt.
     *
     * @param attempt the id of the attempt
     * @param body the outcome or release
     * @param inFlight whether an append is in progress
     */
    private record UnconfirmedRecord(String attempt, RecordBody body, boolean inFlight) {
        private UnconfirmedRecord withInFlight(boolean value) {
            return new UnconfirmedRecord(attempt, body, value);
        }
    }
}
