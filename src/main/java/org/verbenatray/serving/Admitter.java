package org.verbenatray.serving;

import java.util.function.Consumer;
import org.verbenatray.servers.Cancellation;

/** Admits requests to the fleet, at once or after they have waited in a queue. */
@FunctionalInterface
interface Admitter {
    /**
     * Requests the admission of a request. Exactly one of the two consumers is called, on any thread, unless the
     * returned cancellation is used before.
     *
     * @param admitted receives the admission
     * @param rejected receives the refusal, if the request is rejected
     */
    Cancellation admit(CompletionRequest request, Consumer<AdmissionHandle> admitted, Consumer<Refusal> rejected);
}
