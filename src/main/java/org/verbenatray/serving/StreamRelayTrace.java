package org.verbenatray.serving;

import java.util.Optional;
import org.verbenatray.explain.Step;
import org.verbenatray.explain.Trace;
import org.verbenatray.routing.EngineRoute;
import org.verbenatray.servers.ServerFailure;

/**
 * Records the events of a relayed stream in the trace of its request, from which an operator reads how it was served.
 *
 * @param trace the trace of the request
 */
record StreamRelayTrace(Trace trace) {
    /** Records a dispatch and the cost estimate by which its engine was chosen. */
    void recordDispatch(int dispatchNumber, EngineDispatch dispatch, int emittedTokens) {
        Optional<EngineRoute> route = dispatch.route();
        trace.addStep(new Step.Dispatched(
                dispatchNumber,
                dispatch.engine(),
                dispatch.prefillEngine(),
                route.map(EngineRoute::firstTokenMillis).orElse(0.0),
                route.map(EngineRoute::betweenTokensMillis).orElse(0.0),
                route.map(EngineRoute::cachedTokens).orElse(0),
                dispatch.decodeCandidateCount(),
                emittedTokens));
    }

    /** Records that the request waits because it is suspected of crashing engines. */
    void recordHeldBack() {
        trace.addStep(new Step.HeldBack());
    }

    /** Records that the stream was resumed over a new connection to the same engine. */
    void recordResume(String engine, int emittedTokens) {
        trace.addStep(new Step.Recovered("resumed", engine, "the connection stalled or broke", emittedTokens));
    }

    /** Records that the given engine failed and the rest of the request is sent to another one. */
    void recordFailover(String engine, ServerFailure failure, int emittedTokens) {
        trace.addStep(new Step.Recovered("run_again", engine, failure.getMessage(), emittedTokens));
    }

    /** Records that an engine crashed while it ran the request. */
    void recordCrash(String engine, long incarnation) {
        trace.addStep(new Step.EngineCrashed(engine, incarnation));
    }
}
