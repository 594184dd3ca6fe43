package org.verbenatray.routing;

import org.verbenatray.fleet.EngineView;

/** Decides whether an engine may serve a request. */
@FunctionalInterface
public interface EngineFilter {
    /** Returns whether the engine may serve the request. */
    boolean accepts(RouteRequest request, EngineView engine);

    /** Returns a filter that accepts an engine when this filter and the other one accept it. */
    default EngineFilter and(EngineFilter other) {
        return (request, engine) -> accepts(request, engine) && other.accepts(request, engine);
    }
}
