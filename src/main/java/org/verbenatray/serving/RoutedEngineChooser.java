package org.verbenatray.serving;

import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.verbenatray.admission.LatencyEstimate;
import org.verbenatray.admission.OutputEstimator;
import org.verbenatray.configuration.FleetConfiguration;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;
import org.verbenatray.fleet.Candidates;
import org.verbenatray.fleet.FleetView;
import org.verbenatray.fleet.PrefixIndex;
import org.verbenatray.fleet.PromptBlocks;
import org.verbenatray.routing.CostRouter;
import org.verbenatray.routing.EngineRoute;
import org.verbenatray.routing.RouteDispatch;
import org.verbenatray.routing.RouteRequest;
import org.verbenatray.servers.ServerFailure;
import org.verbenatray.time.Ticker;

/** Chooses engines with the router and counts the load of the dispatches in the fleet view. */
public final class RoutedEngineChooser implements EngineChooser {
    /** The quantile of the observed response lengths that is used as the expected length. */
    private static final double OUTPUT_LENGTH_QUANTILE = 0.9;

    private final CostRouter router;
    private final FleetView fleet;
    private final PrefixIndex prefixIndex;
    private final OutputEstimator outputEstimator;
    private final Supplier<FleetConfiguration> configuration;

    /** Returns the last known incarnation of an engine, zero for none. */
    private final ToLongFunction<String> incarnations;

    private final String failureDomain;
    private final Ticker ticker;

    private RoutedEngineChooser(
            CostRouter router,
            FleetView fleet,
            PrefixIndex prefixIndex,
            OutputEstimator outputEstimator,
            Supplier<FleetConfiguration> configuration,
            ToLongFunction<String> incarnations,
            String failureDomain,
            Ticker ticker) {
        this.router = router;
        this.fleet = fleet;
        this.prefixIndex = prefixIndex;
        this.outputEstimator = outputEstimator;
        this.configuration = configuration;
        this.incarnations = incarnations;
        this.failureDomain = failureDomain;
        this.ticker = ticker;
    }

    /**
     * Returns a chooser for an instance in the given failure domain; {@code incarnations} returns the last known
     * incarnation of an engine, zero for none.
     */
    public static RoutedEngineChooser create(
            CostRouter router,
            FleetView fleet,
            PrefixIndex prefixIndex,
            OutputEstimator outputEstimator,
            Supplier<FleetConfiguration> configuration,
            ToLongFunction<String> incarnations,
            String failureDomain,
            Ticker ticker) {
        return new RoutedEngineChooser(
                router, fleet, prefixIndex, outputEstimator, configuration, incarnations, failureDomain, ticker);
    }

    @Override
    public Optional<EngineDispatch> choose(
            CompletionRequest request, int emittedTokens, Set<String> excluded, Optional<String> required) {
        RouteRequest routeRequest = routeRequest(request, emittedTokens, excluded);
        Candidates candidates = candidates(request.model(), required);
        return router.choose(routeRequest, candidates)
                .flatMap(route -> startDispatch(
                        route, routeRequest, candidates.decodeEngines().size()));
    }

    /** Returns the best route of a request with its latency estimate, empty if no engine is available. */
    Optional<RouteEstimate> estimateBestRoute(CompletionRequest request) {
        RouteRequest routeRequest = routeRequest(request, 0, Set.of());
        long now = ticker.nanos();
        return router.choose(routeRequest, fleet.candidates(request.model(), now))
                .flatMap(route -> fleet.view(route.prefillEngine().orElse(route.decodeEngine()), now)
                        .map(prefillView ->
                                new RouteEstimate(routeRequest, route, LatencyEstimate.of(route, prefillView))));
    }

    /**
     * Counts the load of an admitted request that is not dispatched yet, so that the next decision takes it into
     * account; the returned action removes that load.
     */
    Runnable addProvisionalLoad(RouteEstimate estimate) {
        return RouteDispatch.start(fleet, estimate.route(), estimate.request(), ticker.nanos())
                .<Runnable>map(dispatch -> () -> dispatch.onEnd(ticker.nanos()))
                .orElse(() -> {});
    }

    /** Returns the number of tokens that a request is expected to generate. */
    int expectedOutputTokens(CompletionRequest request) {
        return outputEstimator.estimate(
                request.customer(), request.model(), request.maxTokens(), OUTPUT_LENGTH_QUANTILE);
    }

    /** Records the length of a complete response, for the estimates of later ones. */
    void recordOutputLength(String customer, String model, int outputTokens) {
        outputEstimator.recordResponse(customer, model, outputTokens);
    }

    /** Returns the properties of a request on which its route depends. */
    private RouteRequest routeRequest(CompletionRequest request, int emittedTokens, Set<String> excluded) {
        return new RouteRequest(
                request.model(),
                request.priority(),
                failureDomain,
                request.promptTokens() + emittedTokens,
                Math.max(1, expectedOutputTokens(request) - emittedTokens),
                PromptBlocks.hashes(modelWithVersion(request.model()), request.prompt()),
                excluded);
    }

    /** Returns a model with its configured version; a prefix cache is not valid for another version of the model. */
    private String modelWithVersion(String model) {
        return Optional.ofNullable(configuration.get().models().get(model))
                .map(spec -> model + "@" + spec.version())
                .orElse(model);
    }

    /** Returns the candidate engines: all those of the model, or only the required one. */
    private Candidates candidates(String model, Optional<String> required) {
        long now = ticker.nanos();
        if (required.isEmpty()) {
            return fleet.candidates(model, now);
        }
        return Candidates.of(fleet.view(required.get(), now).stream().toList());
    }

    /** Counts the load of a dispatch and returns it, empty if an engine of the route is no longer configured. */
    private Optional<EngineDispatch> startDispatch(EngineRoute route, RouteRequest request, int decodeCandidates) {
        EngineSpec spec = configuration.get().engines().get(route.decodeEngine());
        Optional<EngineSpec> prefillSpec =
                route.prefillEngine().map(name -> configuration.get().engines().get(name));
        if (spec == null || prefillSpec.isPresent() != route.prefillEngine().isPresent()) {
            return Optional.empty();
        }
        prefixIndex.onDispatch(route.prefillEngine().orElse(route.decodeEngine()), request.prefixHashes());
        String prefillAddress = prefillSpec.map(EngineSpec::address).orElse(spec.address());
        return RouteDispatch.start(fleet, route, request, ticker.nanos())
                .map(dispatch -> new RoutedDispatch(route, decodeCandidates, spec.address(), prefillAddress, dispatch));
    }

    /**
     * The best route of a request with its latency estimate.
     *
     * @param request the properties from which the route was chosen
     * @param route the route
     * @param latency the expected latencies
     */
    record RouteEstimate(RouteRequest request, EngineRoute route, LatencyEstimate latency) {}

    /** A dispatch along a route. */
    private final class RoutedDispatch implements EngineDispatch {
        private final EngineRoute route;
        private final int decodeCandidates;
        private final String address;
        private final String prefillAddress;

        /** The load of the dispatch in the fleet view. */
        private final RouteDispatch dispatch;

        /** The incarnation of the first engine at the time of the dispatch, zero if unknown. */
        private final long incarnation;

        RoutedDispatch(
                EngineRoute route,
                int decodeCandidates,
                String address,
                String prefillAddress,
                RouteDispatch dispatch) {
            this.route = route;
            this.decodeCandidates = decodeCandidates;
            this.address = address;
            this.prefillAddress = prefillAddress;
            this.dispatch = dispatch;
            this.incarnation = incarnations.applyAsLong(firstEngine());
        }

        @Override
        public String engine() {
            return route.decodeEngine();
        }

        @Override
        public Optional<EngineRoute> route() {
            return Optional.of(route);
        }

        @Override
        public int decodeCandidateCount() {
            return decodeCandidates;
        }

        @Override
        public String address() {
            return address;
        }

        @Override
        public Optional<String> prefillEngine() {
            return route.prefillEngine();
        }

        @Override
        public String prefillAddress() {
            return prefillAddress;
        }

        @Override
        public long incarnation(String engine) {
            boolean known = incarnation != 0 && engine.equals(firstEngine());
            return known ? incarnation : incarnations.applyAsLong(engine);
        }

        @Override
        public void onPrefilled() {
            dispatch.onPrefilled(ticker.nanos());
        }

        @Override
        public void onFirstToken() {
            dispatch.onFirstToken(ticker.nanos());
        }

        @Override
        public void onEnd() {
            dispatch.onEnd(ticker.nanos());
        }

        @Override
        public void onFailure(String engine, ServerFailure failure) {
            long now = ticker.nanos();
            switch (failure.kind()) {
                case LEAVING -> {
                    fleet.onLeaving(engine);
                    dispatch.onEnd(now);
                }
                case FULL, REFUSED -> dispatch.onEnd(now);
                default -> {
                    if (engine.equals(route.decodeEngine())) {
                        dispatch.onDecodeFailure(now);
                    } else {
                        dispatch.onPrefillFailure(now);
                    }
                }
            }
        }

        /** Returns the engine that receives the request first: the prefill engine if there is one. */
        private String firstEngine() {
            return route.prefillEngine().orElse(route.decodeEngine());
        }
    }
}
