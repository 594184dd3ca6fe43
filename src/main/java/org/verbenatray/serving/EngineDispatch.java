package org.verbenatray.serving;

import java.util.Optional;
import org.verbenatray.routing.EngineRoute;
import org.verbenatray.servers.ServerFailure;

/**
 * One dispatch of a request to its chosen engine, or to a prefill and a decode engine. The caller reports the events of
 * the dispatch, so that the load of the engines is counted correctly.
 */
public interface EngineDispatch {
    /** Returns the name of the engine that generates the tokens. */
    String engine();

    /** Returns the base URI of the engine that generates the tokens. */
    String address();

    /** Returns the name of the prefill engine, empty if {@link #engine} also processes the prompt. */
    Optional<String> prefillEngine();

    /** Returns the route with its cost estimate, empty if no router chose the engine. */
    default Optional<EngineRoute> route() {
        return Optional.empty();
    }

    /** Returns the number of engines among which the decode engine was chosen. */
    default int decodeCandidateCount() {
        return 0;
    }

    /** Returns the base URI of the engine that processes the prompt, which may be {@link #address}. */
    String prefillAddress();

    /**
     * Returns the incarnation of one of the engines at the time of the dispatch, the current one if that is unknown.
     */
    long incarnation(String engine);

    /** Reports that the prefill engine has handed its KV cache over. */
    void onPrefilled();

    /** Reports the first token. */
    void onFirstToken();

    /** Reports that the dispatch completed or was cancelled. */
    void onEnd();

    /** Reports that the dispatch failed on the given one of its engines. */
    void onFailure(String engine, ServerFailure failure);
}
