package org.verbenatray.log;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.verbenatray.time.Deadline;

/** Appends a record to the log and completes when the fold of this instance has accepted or rejected it. */
@FunctionalInterface
public interface Appender {
    /**
     * Appends one record.
     *
     * <p>The future completes with the verdict of the fold. It fails with a {@link LogUnavailableException} when no
     * verdict was read by the deadline; the record may then still be accepted later. It fails with a
     * {@link NotAppendedException} when the record was certainly not appended and never will be.
     *
     * @param body the content of the record
     * @param follows the offset that the change must follow, for compare-and-set
     * @param deadline the time by which the verdict must be read
     */
    CompletableFuture<Verdict> submit(RecordBody body, Optional<Long> follows, Deadline deadline);
}
