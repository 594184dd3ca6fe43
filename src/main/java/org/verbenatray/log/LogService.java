package org.verbenatray.log;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The client of the platform's append-only log. Its futures fail with a {@link LogUnavailableException}. */
public interface LogService {
    /** Appends records in order and returns the offset of the first; after a failure they may still get appended. */
    CompletableFuture<Long> append(List<LogRecord> records);

    /** Reads at most {@code limit} records from an offset on, or from the oldest retained record if that is later. */
    CompletableFuture<LogPage> read(long from, int limit);
}
