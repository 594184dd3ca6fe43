package org.verbenatray.log;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/** A log of plain records, which can be told to append only where it still ends where the writer believes. */
public interface ConditionalLog {
    /** Appends a record at an offset; empty where the log ends elsewhere; after a failure it may be there or not. */
    CompletableFuture<OptionalLong> appendAt(long end, byte[] content);

    /** Appends a record at the end. A failure leaves open whether it was added. */
    CompletableFuture<Void> append(byte[] content);

    /** Returns the records from an offset on, waiting up to the given milliseconds for the first. */
    CompletableFuture<Tail> read(long from, long waitMillis);

    /**
     * The end of a log.
     *
     * @param end the offset after the last record
     * @param records the newest records that were asked for and are kept
     */
    record Tail(long end, List<byte[]> records) {}
}
