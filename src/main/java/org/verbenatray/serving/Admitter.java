package org.verbenatray.serving;

import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.verbenatray.servers.Cancellation;

/** Admits requests to the fleet, at once or after they waited in a queue. */
@FunctionalInterface
public interface Admitter {
    /**
     * Calls exactly one of the two on any thread, unless the request is cancelled before.
     *
     * @param admitted receives what returns the admission, to be called once with the number of generated tokens
     * @param refused receives the final answer
     */
    Cancellation admit(CompletionRequest request, Consumer<IntConsumer> admitted, Consumer<Refusal> refused);
}
