package org.verbenatray.log;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's append-only log. Failures complete the futures with a {@link LogUnavailableException}. */
public interface LogService {
    /** Appends records in order and returns the offset of the first; after a failure they may still be appended. */
    CompletableFuture<Long> append(List<LogRecord> records);

    /** Reads at most the given number of records from an offset on; an offset before retention starts at the oldest. */
    CompletableFuture<LogPage> read(long from, int limit);
}
