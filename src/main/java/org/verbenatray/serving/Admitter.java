package org.verbenatray.serving;

import java.util.function.Consumer;
import org.verbenatray.servers.Cancellation;

/** Admits requests to the fleet, at once or after they waited in a queue. */
@FunctionalInterface
interface Admitter {
    /**
     * Calls exactly one of the two on any thread, unless the request is cancelled before.
     *
     * @param admitted receives the admission
     * @param refused receives the final answer
     */
    Cancellation admit(CompletionRequest request, Consumer<Admitted> admitted, Consumer<Refusal> refused);
}
