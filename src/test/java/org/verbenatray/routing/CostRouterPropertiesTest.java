package org.verbenatray.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.verbenatray.fleet.FleetFixtures.HOME;
import static org.verbenatray.fleet.FleetFixtures.MODEL;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.verbenatray.configuration.EngineRole;
import org.verbenatray.configuration.FleetConfiguration;
import org.verbenatray.fleet.EngineCondition;
import org.verbenatray.fleet.EngineView;
import org.verbenatray.fleet.FleetFixtures;
import org.verbenatray.fleet.PrefixIndex;

/** Compares {@link CostRouter} with a naive full scan and checks what no router may do. */
public final class CostRouterPropertiesTest {
    private static final CostModel COSTS = CostModel.defaults();
    private static final int KV_BYTES = 100_000;

    @Property(seed = "3", tries = 500)
    void theChoiceAmongFewEnginesHasTheSmallestScoreOfAFullScan(@ForAll long seed) {
        Random random = new Random(seed);
        List<EngineView> engines = RoutingFixtures.randomEngines(random, random.nextInt(33));
        PrefixIndex index = randomIndex(random, engines);
        RouteRequest request = randomRequest(random);
        Optional<Route> route = router(index, random).choose(request, engines);
        Optional<Double> best = naiveBest(request, engines, index);
        assertEquals(route.isPresent(), best.isPresent());
        if (route.isPresent()) {
            assertEquals(scoreOf(route.get(), request, engines, index), best.get(), 1e-6);
        }
    }

    @Property(seed = "4", tries = 300)
    void noRouterChoosesAnEngineThatMayNotTakeTheRequest(@ForAll long seed) {
        Random random = new Random(seed);
        List<EngineView> engines = RoutingFixtures.randomEngines(random, random.nextInt(200));
        RouteRequest request = randomRequest(random);
        List<Router> routers = List.of(
                router(randomIndex(random, engines), random), LeastLoadRouter.create(), RoundRobinRouter.create());
        for (Router router : routers) {
            router.choose(request, engines).ifPresent(route -> assertAllowed(route, request, engines));
        }
    }

    private static void assertAllowed(Route route, RouteRequest request, List<EngineView> engines) {
        EngineView decoder = byName(engines).get(route.engine());
        assertUsable(decoder, request);
        assertTrue(decoder.role() != EngineRole.PREFILL);
        long wholeTokens = (long) request.promptTokens() + request.expectedOutputTokens();
        assertTrue(decoder.usedKvTokens() + wholeTokens <= decoder.spec().kvTokens());
        EngineView prefiller = route.prefillEngine().map(byName(engines)::get).orElse(decoder);
        assertUsable(prefiller, request);
        assertTrue(prefiller.role() != EngineRole.DECODE);
        assertTrue(prefiller.usedKvTokens() + request.promptTokens()
                <= prefiller.spec().kvTokens());
    }

    private static void assertUsable(EngineView engine, RouteRequest request) {
        assertEquals(engine.condition(), EngineCondition.READY);
        assertTrue(!request.barred().contains(engine.name()));
        assertTrue(engine.runningStreams() < engine.spec().maxStreams());
        assertTrue(!engine.spec().models().contains("other"));
    }

    /** Returns the smallest score over all pairs of engines, each engine with itself included. */
    private static Optional<Double> naiveBest(RouteRequest request, List<EngineView> engines, PrefixIndex index) {
        double best = Double.POSITIVE_INFINITY;
        for (EngineView decoder : engines) {
            for (EngineView prefiller : engines) {
                if (EngineFilters.DECODE.accepts(request, decoder)
                        && EngineFilters.PREFILL.accepts(request, prefiller)) {
                    best = Math.min(best, naiveScore(request, prefiller, decoder, index));
                }
            }
        }
        return Double.isFinite(best) ? Optional.of(best) : Optional.empty();
    }

    private static double scoreOf(Route route, RouteRequest request, List<EngineView> engines, PrefixIndex index) {
        Map<String, EngineView> byName = byName(engines);
        EngineView decoder = byName.get(route.engine());
        EngineView prefiller = route.prefillEngine().map(byName::get).orElse(decoder);
        return naiveScore(request, prefiller, decoder, index);
    }

    private static double naiveScore(
            RouteRequest request, EngineView prefiller, EngineView decoder, PrefixIndex index) {
        int output = request.expectedOutputTokens();
        int uncached = request.promptTokens()
                - index.cachedTokens(prefiller.name(), request.prefixHashes(), request.promptTokens());
        double between = COSTS.betweenTokensMillis(decoder, output);
        double first = COSTS.prefillMillis(prefiller, uncached);
        double caution = COSTS.cautionMillis(decoder, HOME);
        if (!prefiller.name().equals(decoder.name())) {
            boolean crosses =
                    !prefiller.spec().failureDomain().equals(decoder.spec().failureDomain());
            first += COSTS.transferMillis(request.promptTokens(), KV_BYTES, crosses) + between;
            caution += COSTS.cautionMillis(prefiller, HOME);
        }
        double delay = COSTS.prefillDelayMillis(prefiller, uncached) + COSTS.decodeDelayMillis(decoder, output);
        return caution + COSTS.score(first, between, output, delay);
    }

    private static CostRouter router(PrefixIndex index, Random random) {
        FleetConfiguration configuration = FleetFixtures.configuration(Map.of());
        assertEquals(configuration.models().get(MODEL).kvBytesPerToken(), KV_BYTES);
        return CostRouter.create(COSTS, index, () -> configuration, random::nextLong);
    }

    private static RouteRequest randomRequest(Random random) {
        Set<String> barred = new HashSet<>();
        for (int count = random.nextInt(4); count > 0; count--) {
            barred.add("e" + random.nextInt(20));
        }
        return RoutingFixtures.request(1 + random.nextInt(30_000), 1 + random.nextInt(2_000), barred);
    }

    private static PrefixIndex randomIndex(Random random, List<EngineView> engines) {
        PrefixIndex index = PrefixIndex.create(16);
        for (EngineView engine : engines) {
            int pieces = random.nextInt(RoutingFixtures.PIECES.size() + 1);
            index.onDispatch(engine.name(), RoutingFixtures.PIECES.subList(0, pieces));
        }
        return index;
    }

    private static Map<String, EngineView> byName(List<EngineView> engines) {
        return engines.stream().collect(Collectors.toMap(EngineView::name, Function.identity()));
    }
}
