package org.verbenatray.once;

import java.util.concurrent.CompletableFuture;
import org.verbenatray.log.RecordBody.CallAnswer;

/** Sends one call to a backend server; called at most once. */
@FunctionalInterface
public interface Sender {
    /**
     * Sends the call and yields the answer.
     *
     * <p>The future fails with a {@link NotSentException} when no byte of the call was written to any server and none
     * will be; any other failure means that the call may have run.
     */
    CompletableFuture<CallAnswer> send();
}
