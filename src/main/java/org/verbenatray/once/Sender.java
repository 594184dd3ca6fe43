package org.verbenatray.once;

import java.util.concurrent.CompletableFuture;
import org.verbenatray.log.RecordBody.CallAnswer;

/** Sends one call to a backend server. Each instance is invoked at most once. */
@FunctionalInterface
public interface Sender {
    /**
     * Sends the call and returns a future of the response.
     *
     * <p>The future fails with a {@link NotSentException} if no byte of the call was or will be written to any server.
     * Any other failure means that the call may have run.
     */
    CompletableFuture<CallAnswer> send();
}
