package org.verbenatray.routing;

import java.util.Optional;
import org.verbenatray.fleet.EngineView;

/** Makes routes for the baselines, which expect no cache hits. */
final class BaselineRoutes {
    /** The model by which the baselines state expected times; it does not influence their choice. */
    private static final CostModel COSTS = CostModel.defaults();

    /** Has no instances. */
    private BaselineRoutes() {}

    /** Returns the route through the decoder, with the prefiller only when the decoder does not prefill. */
    static Route route(RouteRequest request, EngineView decoder, Optional<EngineView> prefiller) {
        boolean alone = decoder.role().prefills();
        EngineView first = alone ? decoder : prefiller.orElse(decoder);
        double betweenTokensMillis = COSTS.betweenTokensMillis(decoder, request.expectedOutputTokens());
        double firstTokenMillis = COSTS.prefillMillis(first, request.promptTokens()) + betweenTokensMillis;
        Optional<String> prefillEngine = alone ? Optional.empty() : Optional.of(first.name());
        return new Route(decoder.name(), prefillEngine, 0, firstTokenMillis, betweenTokensMillis);
    }
}
