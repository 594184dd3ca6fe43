package org.verbenatray.instance;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.verbenatray.log.StoredRecord;

/** Buffers the latest log records, for peers that cannot reach the platform. Thread-safe. */
final class PeerRecordBuffer {
    private static final int MAX_RECORDS = 1_024;

    /** The maximum number of records in one response. */
    private static final int MAX_RECORDS_PER_RESPONSE = 128;

    /** The records in order of their offsets, without gaps. */
    private final Deque<StoredRecord> records = new ArrayDeque<>();

    PeerRecordBuffer() {}

    /** Adds a record; if its offset does not follow the last one, the buffer is cleared first. */
    synchronized void add(StoredRecord record) {
        if (!records.isEmpty() && records.getLast().offset() + 1 != record.offset()) {
            records.clear();
        }
        records.addLast(record);
        if (records.size() > MAX_RECORDS) {
            records.removeFirst();
        }
    }

    /** Returns records from an offset on, up to the maximum; empty when the buffer does not reach back that far. */
    synchronized Optional<List<StoredRecord>> recordsFrom(long offset) {
        if (records.isEmpty() || records.getFirst().offset() > offset) {
            return Optional.empty();
        }
        return Optional.of(records.stream()
                .filter(record -> record.offset() >= offset)
                .limit(MAX_RECORDS_PER_RESPONSE)
                .toList());
    }
}
