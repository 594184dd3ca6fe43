package org.verbenatray.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.verbenatray.fleet.EngineView;

/** Chooses the engine with the least reported load, without regard to the request's length; a baseline. */
public final class LeastLoadRouter implements Router {
    /** The order by which an engine generates tokens for a request. */
    private static final Comparator<EngineView> LEAST_STREAMS =
            Comparator.comparingInt(EngineView::runningStreams).thenComparing(EngineView::name);

    /** The order by which an engine processes the prompt for another. */
    private static final Comparator<EngineView> LEAST_QUEUE =
            Comparator.comparingLong(EngineView::queuedPrefillTokens).thenComparing(EngineView::name);

    /** Creates the router. */
    private LeastLoadRouter() {}

    /** Returns the router. */
    public static LeastLoadRouter create() {
        return new LeastLoadRouter();
    }

    @Override
    public Optional<Route> choose(RouteRequest request, List<EngineView> engines) {
        Optional<EngineView> prefiller = engines.stream()
                .filter(engine -> EngineFilters.PREFILL.accepts(request, engine))
                .min(LEAST_QUEUE);
        return engines.stream()
                .filter(engine -> EngineFilters.DECODE.accepts(request, engine))
                .filter(engine -> engine.role().prefills() || prefiller.isPresent())
                .min(LEAST_STREAMS)
                .map(decoder -> BaselineRoutes.route(request, decoder, prefiller));
    }
}
