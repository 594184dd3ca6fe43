package org.verbenatray.bench;

import java.util.List;
import java.util.Optional;
import org.verbenatray.fleet.EngineView;
import org.verbenatray.routing.Route;
import org.verbenatray.routing.RouteRequest;
import org.verbenatray.routing.Router;

/** Shows a router only the queue that an engine serves before the request, since engines honour priorities. */
final class PriorityAwareRouter implements Router {
    /** The prompt tokens of the step that runs when a request of high priority arrives. */
    private static final long STEP_TOKENS = 256;

    /** The router that chooses. */
    private final Router router;

    /** Creates the router. */
    private PriorityAwareRouter(Router router) {
        this.router = router;
    }

    /** Returns a router that lets another one choose. */
    static Router create(Router router) {
        return new PriorityAwareRouter(router);
    }

    @Override
    public Optional<Route> choose(RouteRequest request, List<EngineView> engines) {
        if (request.priority() <= 0) {
            return router.choose(request, engines);
        }
        return router.choose(
                request, engines.stream().map(PriorityAwareRouter::ahead).toList());
    }

    /** Returns the view with the queue that is served before a request of high priority. */
    private static EngineView ahead(EngineView view) {
        return new EngineView(
                view.name(),
                view.spec(),
                view.role(),
                view.condition(),
                view.runningStreams(),
                Math.min(STEP_TOKENS, view.queuedPrefillTokens()),
                view.usedKvTokens(),
                view.reportAgeMillis(),
                view.cacheDoubtful());
    }
}
