package org.verbenatray.routing;

import org.verbenatray.fleet.EngineView;

/** Decides whether an engine may take a request. */
@FunctionalInterface
public interface EngineFilter {
    /** Returns whether the engine may take the request. */
    boolean accepts(RouteRequest request, EngineView engine);

    /** Returns a filter that accepts what both accept. */
    default EngineFilter and(EngineFilter other) {
        return (request, engine) -> accepts(request, engine) && other.accepts(request, engine);
    }
}
