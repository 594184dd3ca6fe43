package org.verbenatray.routing;

import org.verbenatray.fleet.EngineCondition;

/** Hard constraints on the engines of a request, which apply whatever their scores. */
public final class EngineFilters {
    /** The engine accepts new requests: it is reachable, not leaving and not changing. */
    public static final EngineFilter READY = (request, engine) -> engine.condition() == EngineCondition.READY;

    /** The engine is configured for the model. */
    public static final EngineFilter SERVES_MODEL = (request, engine) -> {
        return engine.spec().models().isEmpty() || engine.spec().models().contains(request.model());
    };

    /** The engine is not excluded for the request. */
    public static final EngineFilter NOT_EXCLUDED =
            (request, engine) -> !request.excludedEngines().contains(engine.name());

    /** The engine has a free stream slot. */
    public static final EngineFilter FREE_STREAM_SLOT =
            (request, engine) -> engine.runningStreams() < engine.spec().maxStreams();

    /** The engine's KV cache has room for the prompt. */
    public static final EngineFilter FITS_PROMPT = (request, engine) ->
            engine.usedKvTokens() + request.promptTokens() <= engine.spec().kvTokens();

    /** The engine's KV cache has room for the prompt and the expected output. */
    public static final EngineFilter FITS_PROMPT_AND_OUTPUT =
            (request, engine) -> engine.usedKvTokens() + request.promptTokens() + request.expectedOutputTokens()
                    <= engine.spec().kvTokens();

    /** The constraints that apply to prefill and decode engines alike. */
    private static final EngineFilter USABLE =
            READY.and(SERVES_MODEL).and(NOT_EXCLUDED).and(FREE_STREAM_SLOT);

    /** The engine may process the prompt for another engine. */
    public static final EngineFilter PREFILL =
            USABLE.and(FITS_PROMPT).and((request, engine) -> engine.role().prefills());

    /** The engine may generate the output. */
    public static final EngineFilter DECODE = USABLE.and(FITS_PROMPT_AND_OUTPUT)
            .and((request, engine) -> engine.role().decodes());

    /** The engine may both process the prompt and generate the output. */
    public static final EngineFilter PREFILL_AND_DECODE =
            DECODE.and((request, engine) -> engine.role().prefills());

    private EngineFilters() {}
}
