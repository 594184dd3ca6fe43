package org.verbenatray.standin.engine;

/** The reason why an engine rejected a request or an order without running any of it. */
public enum EngineRefusal {
    /** The engine is changing its role or loading a model version; try another engine. */
    CHANGING,
    /** The engine's role does not include this kind of work; try an engine in another role. */
    WRONG_ROLE,
    /** The engine does not serve the model; try an engine that does. */
    MODEL_NOT_LOADED,
    /** The request exceeds the total capacity of the engine's KV cache; shorten it. */
    TOO_LARGE,
    /** The engine already has a request with this id; use a new id. */
    DUPLICATE_ID,
    /** The engine crashed and has not been restarted. */
    DOWN
}
