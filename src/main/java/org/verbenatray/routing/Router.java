package org.verbenatray.routing;

import java.util.List;
import java.util.Optional;
import org.verbenatray.fleet.EngineView;

/** Chooses the engines for a request. */
@FunctionalInterface
public interface Router {
    /** Returns the best route, or empty when no engine can accept the request. */
    Optional<EngineRoute> choose(RouteRequest request, List<EngineView> engines);
}
