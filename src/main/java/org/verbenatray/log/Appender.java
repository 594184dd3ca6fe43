package org.verbenatray.log;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.verbenatray.time.Deadline;

/** Appends a record and waits until the fold of this instance has judged it. */
@FunctionalInterface
public interface Appender {
    /**
     * Appends one record.
     *
     * <p>The future completes with the verdict of the fold. It fails with a {@link LogUnavailableException} when no
     * verdict was read by the deadline; the record may then still be judged later, and its effect must be assumed
     * possible. It fails with a {@link NotAppendedException} when the record surely was not and will not be
     * appended.
     */
    CompletableFuture<Verdict> submit(RecordBody body, Optional<Long> follows, Deadline deadline);
}
