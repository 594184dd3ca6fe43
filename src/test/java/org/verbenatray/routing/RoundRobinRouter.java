package org.verbenatray.routing;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.verbenatray.fleet.EngineView;

/** Baseline router that chooses the usable engines in turn. Thread-safe. */
public final class RoundRobinRouter implements Router {
    private final AtomicLong turns = new AtomicLong();

    private RoundRobinRouter() {}

    /** Returns a router that starts with the first engine. */
    public static RoundRobinRouter create() {
        return new RoundRobinRouter();
    }

    @Override
    public Optional<EngineRoute> choose(RouteRequest request, List<EngineView> engines) {
        long turn = turns.getAndIncrement();
        Optional<EngineView> prefiller = inTurn(usable(request, engines, EngineFilters.PREFILL), turn);
        EngineFilter decodes = (unused, engine) -> engine.role().prefills() || prefiller.isPresent();
        return inTurn(usable(request, engines, EngineFilters.DECODE.and(decodes)), turn)
                .map(decoder -> BaselineRoutes.route(request, decoder, prefiller));
    }

    private static List<EngineView> usable(RouteRequest request, List<EngineView> engines, EngineFilter filter) {
        return engines.stream()
                .filter(engine -> filter.accepts(request, engine))
                .toList();
    }

    private static Optional<EngineView> inTurn(List<EngineView> engines, long turn) {
        if (engines.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(engines.get((int) (turn % engines.size())));
    }
}
