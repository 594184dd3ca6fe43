package org.verbenatray.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.verbenatray.fleet.FleetFixtures.HOME;
import static org.verbenatray.fleet.FleetFixtures.engine;
import static org.verbenatray.routing.RoutingFixtures.idle;
import static org.verbenatray.routing.RoutingFixtures.loaded;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;
import org.verbenatray.configuration.EngineRole;
import org.verbenatray.configuration.FleetConfiguration;
import org.verbenatray.fleet.Candidates;
import org.verbenatray.fleet.EngineView;
import org.verbenatray.fleet.FleetFixtures;
import org.verbenatray.fleet.PrefixIndex;

/** Tests of {@link CostRouter}. */
public final class CostRouterTest {
    private static final RouteRequest REQUEST = RoutingFixtures.request(8_000, 200, Set.of());

    private final FleetConfiguration configuration = FleetFixtures.configuration(Map.of());
    private final PrefixIndex index = PrefixIndex.create(16);
    private final CostRouter router =
            CostRouter.create(CostModel.defaults(), index, () -> configuration, new Random(5)::nextLong);

    @Test
    public void theOwnFailureDomainGoesFirstUntilItsQueueCostsMoreThanTheLatency() {
        EngineView away = idle("away", engine("away", EngineRole.BOTH));
        EngineView home = idle("home", engine(HOME, EngineRole.BOTH));
        assertEquals(router.choose(REQUEST, List.of(away, home)).orElseThrow().engine(), "home");
        EngineView queued = loaded("home", engine(HOME, EngineRole.BOTH), 0, 2_000);
        assertEquals(router.choose(REQUEST, List.of(away, queued)).orElseThrow().engine(), "away");
    }

    @Test
    public void theWorkIsSplitOverTwoEnginesWhereThatIsCheaper() {
        EngineView busy = loaded("busy", engine(HOME, EngineRole.BOTH), 16, 60_000);
        EngineView prefill = idle("prefill", engine(HOME, EngineRole.PREFILL));
        EngineView decode = idle("decode", engine(HOME, EngineRole.DECODE));
        Route split = router.choose(REQUEST, List.of(busy, prefill, decode)).orElseThrow();
        assertEquals(split.engine(), "decode");
        assertEquals(split.prefillEngine(), Optional.of("prefill"));
        EngineView both = idle("both", engine(HOME, EngineRole.BOTH));
        Route alone = router.choose(REQUEST, List.of(both, prefill, decode)).orElseThrow();
        assertEquals(alone.prefillEngine(), Optional.empty(), "no transfer between idle engines");
        assertTrue(router.choose(REQUEST, List.of(prefill)).isEmpty());
        assertTrue(router.choose(REQUEST, List.of(decode)).isEmpty());
    }

    @Test
    public void theBestPrefixHitIsFoundAmongManyEnginesWithFewReads() {
        PrefixIndex hits = PrefixIndex.create(16);
        hits.onDispatch("e1777", RoutingFixtures.PIECES);
        CostRouter sampling =
                CostRouter.create(CostModel.defaults(), hits, () -> configuration, new Random(6)::nextLong);
        List<EngineView> engines = new ArrayList<>();
        for (int number = 0; number < 2_500; number++) {
            engines.add(idle("e" + number, engine(HOME, EngineRole.BOTH)));
        }
        AtomicInteger reads = new AtomicInteger();
        Route route = sampling.choose(REQUEST, counting(engines, reads)).orElseThrow();
        assertEquals(route.engine(), "e1777");
        assertEquals(route.cachedTokens(), 8_000);
        assertTrue(reads.get() <= 2 * (CandidateSampler.SAMPLED_ENGINES + 1), reads + " reads");
    }

    @Test
    public void theReadsStayBoundedWhenNoEngineOfManyHasRoom() {
        List<EngineView> engines = new ArrayList<>();
        for (int number = 0; number < 2_500; number++) {
            engines.add(loaded("e" + number, engine(HOME, EngineRole.BOTH), 32, 0));
        }
        AtomicInteger reads = new AtomicInteger();
        assertTrue(router.choose(REQUEST, counting(engines, reads)).isEmpty());
        assertTrue(reads.get() <= CandidateSampler.READ_ENGINES, reads + " reads");
    }

    @Test
    public void theSamplesOfALargeFleetReachEveryEngine() {
        List<EngineView> engines = new ArrayList<>();
        for (int number = 0; number < 100; number++) {
            engines.add(idle("e" + number, engine(HOME, EngineRole.BOTH)));
        }
        List<String> chosen = new ArrayList<>();
        for (int request = 0; request < 2_000; request++) {
            chosen.add(router.choose(REQUEST, engines).orElseThrow().engine());
        }
        assertEquals(chosen.stream().distinct().count(), 100);
    }

    private static Candidates counting(List<EngineView> engines, AtomicInteger reads) {
        Candidates all = Candidates.of(engines);
        Candidates.Group group = new Candidates.Group() {
            @Override
            public int size() {
                return engines.size();
            }

            @Override
            public EngineView get(int position) {
                reads.incrementAndGet();
                return engines.get(position);
            }
        };
        return new Candidates() {
            @Override
            public Group prefilling() {
                return group;
            }

            @Override
            public Group decoding() {
                return group;
            }

            @Override
            public Optional<EngineView> find(String engine) {
                reads.incrementAndGet();
                return all.find(engine);
            }
        };
    }
}
