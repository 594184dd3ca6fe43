package org.verbenatray.standin.engine;

/** Why an engine refused a request or an order; nothing of it was run. */
public enum EngineRefusal {
    /** The engine is changing its role or loading a version; try another engine. */
    CHANGING,
    /** The engine's role does not include this work; try an engine in another role. */
    WRONG_ROLE,
    /** The engine does not serve the model; try an engine that does. */
    MODEL_NOT_LOADED,
    /** The request can never fit into the engine's KV cache; shorten it. */
    TOO_LARGE,
    /** A request of the same id is already there; use a fresh id. */
    DUPLICATE_ID,
    /** The engine crashed and was not restarted. */
    DOWN
}
