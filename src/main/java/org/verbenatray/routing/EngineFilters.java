package org.verbenatray.routing;

import org.verbenatray.fleet.EngineCondition;

/** The conditions on an engine that no score can outweigh. */
public final class EngineFilters {
    /** The engine takes new work: it is not leaving, not changing and reachable. */
    public static final EngineFilter READY = (request, engine) -> engine.condition() == EngineCondition.READY;

    /** The engine is configured for the model. */
    public static final EngineFilter CONFIGURED = (request, engine) -> {
        return engine.spec().models().isEmpty() || engine.spec().models().contains(request.model());
    };

    /** The engine is not barred for the request. */
    public static final EngineFilter NOT_BARRED =
            (request, engine) -> !request.barred().contains(engine.name());

    /** The engine can take one more stream. */
    public static final EngineFilter STREAM_ROOM =
            (request, engine) -> engine.runningStreams() < engine.spec().maxStreams();

    /** The engine's KV cache has room for the prompt. */
    public static final EngineFilter PROMPT_ROOM = (request, engine) ->
            engine.usedKvTokens() + request.promptTokens() <= engine.spec().kvTokens();

    /** The engine's KV cache has room for the prompt and the expected output. */
    public static final EngineFilter WHOLE_ROOM =
            (request, engine) -> engine.usedKvTokens() + request.promptTokens() + request.expectedOutputTokens()
                    <= engine.spec().kvTokens();

    /** The conditions that do not depend on the engine's part in the request. */
    private static final EngineFilter USABLE =
            READY.and(CONFIGURED).and(NOT_BARRED).and(STREAM_ROOM);

    /** The engine may process the prompt for another engine. */
    public static final EngineFilter PREFILL =
            USABLE.and(PROMPT_ROOM).and((request, engine) -> engine.role().prefills());

    /** The engine may generate the tokens. */
    public static final EngineFilter DECODE =
            USABLE.and(WHOLE_ROOM).and((request, engine) -> engine.role().decodes());

    /** The engine may do all the work alone. */
    public static final EngineFilter ALONE =
            DECODE.and((request, engine) -> engine.role().prefills());

    /** Has no instances. */
    private EngineFilters() {}
}
