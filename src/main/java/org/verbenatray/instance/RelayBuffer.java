package org.verbenatray.instance;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.verbenatray.log.StoredRecord;

/** The last records of the log that this instance read, for peers that are cut off from the platform; thread-safe. */
final class RelayBuffer {
    /** The largest number of records that are kept. */
    private static final int MAX_RECORDS = 1_024;

    /** The largest number of records that one answer holds. */
    private static final int MAX_ANSWER = 128;

    /** The records in the order of their offsets, without gaps. */
    private final Deque<StoredRecord> records = new ArrayDeque<>();

    /** Creates an empty buffer. */
    RelayBuffer() {}

    /** Adds a record; a gap before it empties the buffer first. */
    synchronized void add(StoredRecord record) {
        if (!records.isEmpty() && records.getLast().offset() + 1 != record.offset()) {
            records.clear();
        }
        records.addLast(record);
        if (records.size() > MAX_RECORDS) {
            records.removeFirst();
        }
    }

    /** Returns the records from an offset on, empty when they are no longer here. */
    synchronized Optional<List<StoredRecord>> from(long offset) {
        if (records.isEmpty() || records.getFirst().offset() > offset) {
            return Optional.empty();
        }
        return Optional.of(records.stream()
                .filter(record -> record.offset() >= offset)
                .limit(MAX_ANSWER)
                .toList());
    }
}
