package org.verbenatray.log;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/** A log of opaque records with a conditional append, which succeeds only if the log still ends at a given offset. */
public interface ConditionalLog {
    /** Returns the epoch of the log; of a log that never loses acknowledged records it stays unknown. */
    default LogEpoch epoch() {
        return LogEpoch.unknown();
    }

    /**
     * Appends records, all or none of them, if the log ends at the given offset; returns the offset of the last one, or
     * empty if the log ends elsewhere. After a failure it is unknown whether the records were appended.
     */
    CompletableFuture<OptionalLong> appendAt(long end, List<byte[]> contents);

    /** Appends a record at the end. After a failure it is unknown whether the record was appended. */
    CompletableFuture<Void> append(byte[] content);

    /** Returns the records from an offset on, waiting up to the given time in milliseconds for the first. */
    CompletableFuture<Tail> read(long from, long waitMillis);

    /**
     * The result of a read.
     *
     * @param end the offset after the last record of the log
     * @param records the requested records that are still retained, in order
     */
    record Tail(long end, List<byte[]> records) {}
}
