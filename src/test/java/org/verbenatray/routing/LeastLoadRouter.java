package org.verbenatray.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.verbenatray.fleet.EngineView;

/**
 * Baseline router that chooses the engine with the least reported load, regardless of the request's length.
 * Thread-safe.
 */
public final class LeastLoadRouter implements Router {
    /** The order in which decode engines are preferred. */
    private static final Comparator<EngineView> LEAST_STREAMS =
            Comparator.comparingInt(EngineView::runningStreams).thenComparing(EngineView::name);

    /** The order in which prefill engines are preferred. */
    private static final Comparator<EngineView> LEAST_QUEUE =
            Comparator.comparingLong(EngineView::queuedPrefillTokens).thenComparing(EngineView::name);

    private LeastLoadRouter() {}

    /** Returns a router. */
    public static LeastLoadRouter create() {
        return new LeastLoadRouter();
    }

    @Override
    public Optional<EngineRoute> choose(RouteRequest request, List<EngineView> engines) {
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
