package org.verbenatray.bench;

import java.util.List;
import java.util.Optional;
import org.verbenatray.routing.RouteDispatch;
import org.verbenatray.standin.engine.EngineRequest;

/** The state of a request of an experiment. */
final class Flight {
    /** The request. */
    final Arrival arrival;

    /** The number of the request. */
    final int number;

    /** The number of dispatches so far. */
    int attempts;

    /** The engine that generates the tokens. */
    SimulatedEngine engine;

    /** The engine that processes the prompt or exports the KV cache, when it is another one. */
    Optional<SimulatedEngine> source = Optional.empty();

    /** What the fleet view counts for it. */
    Optional<RouteDispatch> counted = Optional.empty();

    /** The tokens that were received. */
    int tokens;

    /** When the last token was received. */
    long lastTokenNanos;

    /** Whether the request has its final answer. */
    boolean done;

    /** Creates the state of a request that has just arrived. */
    Flight(Arrival arrival, int number) {
        this.arrival = arrival;
        this.number = number;
    }

    /** Returns the id of the present dispatch. */
    String id() {
        return number + "." + attempts;
    }

    /** Returns the dispatch of the rest of the answer. */
    EngineRequest request(String model, boolean prefillOnly) {
        return new EngineRequest(
                id(),
                model,
                arrival.kind().priority(),
                arrival.promptTokens(),
                arrival.outputTokens(),
                tokens,
                arrival.seed(),
                List.of(),
                prefillOnly);
    }
}
