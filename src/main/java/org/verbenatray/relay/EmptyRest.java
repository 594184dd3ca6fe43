package org.verbenatray.relay;

import java.util.List;
import org.verbenatray.backends.Backend;

/**
 * The answer of an engine that holds nothing of the rest of a stream that it was asked for.
 *
 * @param engine the engine
 * @param outcome the outcome of the attempt
 * @param comments what the answer holds instead of events
 */
record EmptyRest(Backend engine, ForwardOutcome outcome, List<StreamEvent> comments) {
    /** Returns the head of the answer. */
    ServerResponseHead head() {
        return outcome.head().orElseThrow();
    }
}
