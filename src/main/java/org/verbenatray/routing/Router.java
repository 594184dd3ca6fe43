package org.verbenatray.routing;

import java.util.List;
import java.util.Optional;
import org.verbenatray.fleet.EngineView;

/** Chooses engines for a request; a pure function of its arguments and of the prefix index. */
@FunctionalInterface
public interface Router {
    /** Returns the best route, or empty when no engine may take the request. */
    Optional<Route> choose(RouteRequest request, List<EngineView> engines);
}
