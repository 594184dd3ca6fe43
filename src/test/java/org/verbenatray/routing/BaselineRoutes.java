package org.verbenatray.routing;

import java.util.Optional;
import org.verbenatray.fleet.EngineView;

/** Creates the routes of the baseline routers, which assume no prefix cache hits. */
final class BaselineRoutes {
    /** Computes the expected times of the baselines' routes; it does not influence their choice. */
    private static final CostModel COST_MODEL = CostModel.defaults();

    private BaselineRoutes() {}

    /**
     * Returns the route through the decode engine, with the prefill engine only when the decode engine does not
     * prefill.
     */
    static EngineRoute route(RouteRequest request, EngineView decoder, Optional<EngineView> prefiller) {
        boolean decoderPrefills = decoder.role().prefills();
        EngineView prefillingEngine = decoderPrefills ? decoder : prefiller.orElse(decoder);
        double betweenTokensMillis = COST_MODEL.betweenTokensMillis(decoder, request.expectedOutputTokens());
        double firstTokenMillis =
                COST_MODEL.prefillMillis(prefillingEngine, request.promptTokens()) + betweenTokensMillis;
        Optional<String> prefillEngine = decoderPrefills ? Optional.empty() : Optional.of(prefillingEngine.name());
        return new EngineRoute(decoder.name(), prefillEngine, 0, firstTokenMillis, betweenTokensMillis);
    }
}
