package org.verbenatray.serving;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.verbenatray.admission.AdmissionRequest;
import org.verbenatray.admission.Expectation;
import org.verbenatray.configuration.FleetConfiguration;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;
import org.verbenatray.fleet.Candidates;
import org.verbenatray.fleet.Dispatch;
import org.verbenatray.fleet.FleetView;
import org.verbenatray.fleet.PrefixIndex;
import org.verbenatray.fleet.PromptPieces;
import org.verbenatray.routing.CostRouter;
import org.verbenatray.routing.Route;
import org.verbenatray.routing.RouteRequest;
import org.verbenatray.servers.ServerFailure;
import org.verbenatray.time.Ticker;

/** Chooses engines by the router and counts the dispatches in the fleet view. */
public final class RoutedChooser implements EngineChooser {
    /** The router. */
    private final CostRouter router;

    /** The fleet view. */
    private final FleetView fleet;

    /** The prefix index. */
    private final PrefixIndex prefixIndex;

    /** The configuration in force. */
    private final Supplier<FleetConfiguration> configuration;

    /** Returns the last known incarnation of an engine. */
    private final ToLongFunction<String> incarnations;

    /** The failure domain of this instance. */
    private final String failureDomain;

    /** The clock. */
    private final Ticker ticker;

    /** Creates a chooser. */
    private RoutedChooser(
            CostRouter router,
            FleetView fleet,
            PrefixIndex prefixIndex,
            Supplier<FleetConfiguration> configuration,
            ToLongFunction<String> incarnations,
            String failureDomain,
            Ticker ticker) {
        this.router = router;
        this.fleet = fleet;
        this.prefixIndex = prefixIndex;
        this.configuration = configuration;
        this.incarnations = incarnations;
        this.failureDomain = failureDomain;
        this.ticker = ticker;
    }

    /** Returns a chooser. */
    public static RoutedChooser create(
            CostRouter router,
            FleetView fleet,
            PrefixIndex prefixIndex,
            Supplier<FleetConfiguration> configuration,
            ToLongFunction<String> incarnations,
            String failureDomain,
            Ticker ticker) {
        return new RoutedChooser(router, fleet, prefixIndex, configuration, incarnations, failureDomain, ticker);
    }

    @Override
    public Optional<EngineSlot> choose(
            CompletionRequest request, int emittedTokens, Set<String> barred, Optional<String> only) {
        List<Long> hashes = PromptPieces.hashes(request.model(), request.prompt());
        RouteRequest wanted = new RouteRequest(
                request.model(),
                request.priority(),
                failureDomain,
                request.promptTokens() + emittedTokens,
                Math.max(1, request.maxTokens() - emittedTokens),
                hashes,
                barred);
        return router.choose(wanted, candidates(request.model(), only)).flatMap(route -> slot(route, wanted, hashes));
    }

    /** Returns the engines that may be chosen. */
    private Candidates candidates(String model, Optional<String> only) {
        long now = ticker.nanos();
        if (only.isEmpty()) {
            return fleet.candidates(model, now);
        }
        return Candidates.of(fleet.view(only.get(), now).stream().toList());
    }

    /** Returns what the best route promises to a request, empty when no engine can take it now. */
    public Optional<Expectation> expectation(AdmissionRequest request) {
        RouteRequest wanted = new RouteRequest(
                request.model(),
                request.priority(),
                failureDomain,
                request.promptTokens(),
                request.expectedOutputTokens(),
                List.of(),
                Set.of());
        long now = ticker.nanos();
        return router.choose(wanted, fleet.candidates(request.model(), now))
                .flatMap(route -> fleet.view(route.prefillEngine().orElse(route.engine()), now)
                        .map(prefiller -> Expectation.of(route, prefiller)));
    }

    /** Counts the dispatch and returns its slot. */
    private Optional<EngineSlot> slot(Route route, RouteRequest request, List<Long> hashes) {
        EngineSpec spec = configuration.get().engines().get(route.engine());
        Optional<EngineSpec> prefillSpec =
                route.prefillEngine().map(name -> configuration.get().engines().get(name));
        if (spec == null) {
            return Optional.empty();
        }
        String prefilling = route.prefillEngine().orElse(route.engine());
        prefixIndex.onDispatch(prefilling, hashes);
        return fleet.onDispatch(route.engine(), request.promptTokens(), route.cachedTokens(), ticker.nanos())
                .map(dispatch -> new Slot(
                        route,
                        spec.address(),
                        prefillSpec.map(EngineSpec::address).orElse(""),
                        dispatch));
    }

    /** A routed dispatch. */
    private final class Slot implements EngineSlot {
        /** The route. */
        private final Route route;

        /** The base URI of the engine. */
        private final String address;

        /** The base URI of the engine that processes the prompt first. */
        private final String prefillAddress;

        /** The counted dispatch. */
        private final Dispatch dispatch;

        /** The incarnation of the engine that is sent to first. */
        private final long incarnation;

        /** Creates a slot. */
        Slot(Route route, String address, String prefillAddress, Dispatch dispatch) {
            this.route = route;
            this.address = address;
            this.prefillAddress = prefillAddress;
            this.dispatch = dispatch;
            this.incarnation = incarnations.applyAsLong(route.prefillEngine().orElse(route.engine()));
        }

        @Override
        public String engine() {
            return route.engine();
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
            return engine.equals(route.prefillEngine().orElse(route.engine()))
                    ? incarnation
                    : incarnations.applyAsLong(engine);
        }

        @Override
        public void firstToken() {
            dispatch.onFirstToken(ticker.nanos());
        }

        @Override
        public void ended() {
            dispatch.onEnd(ticker.nanos());
        }

        @Override
        public void failed(String engine, ServerFailure failure) {
            if (failure.kind() == ServerFailure.Kind.LEAVING) {
                fleet.onLeaving(engine);
                dispatch.onEnd(ticker.nanos());
            } else if (failure.kind() == ServerFailure.Kind.FULL || failure.kind() == ServerFailure.Kind.REFUSED) {
                dispatch.onEnd(ticker.nanos());
            } else {
                dispatch.onFailure(ticker.nanos());
            }
        }
    }
}
