package org.verbenatray.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.verbenatray.configuration.FleetConfiguration;
import org.verbenatray.configuration.FleetConfiguration.ModelSpec;
import org.verbenatray.fleet.Candidates;
import org.verbenatray.fleet.EngineView;
import org.verbenatray.fleet.PrefixHit;
import org.verbenatray.fleet.PrefixIndex;

/**
 * Chooses the engine, or the pair of a prefill engine and a decode engine, with the smallest score of the cost model.
 * The work of one decision is bounded, whatever the size of the fleet. Thread-safe if its suppliers are.
 */
public final class CostRouter implements Router {
    /** The number of engines with the best prefix hits that are scored in addition to a sample. */
    private static final int MAX_PREFIX_HITS = 4;

    private final CostModel costModel;

    private final PrefixIndex prefixIndex;

    private final Supplier<FleetConfiguration> configuration;

    private final PriorityQueueModel priorityQueueModel;

    /** Random bits for sampling large groups. */
    private final LongSupplier random;

    private CostRouter(
            CostModel costModel,
            PrefixIndex prefixIndex,
            Supplier<FleetConfiguration> configuration,
            LongSupplier random) {
        this.costModel = costModel;
        this.prefixIndex = prefixIndex;
        this.configuration = configuration;
        this.priorityQueueModel = new PriorityQueueModel(configuration);
        this.random = random;
    }

    /**
     * Returns a router.
     *
     * @param configuration supplies the current configuration
     * @param random supplies random bits that spread the samples of large groups
     */
    public static CostRouter create(
            CostModel costModel,
            PrefixIndex prefixIndex,
            Supplier<FleetConfiguration> configuration,
            LongSupplier random) {
        return new CostRouter(costModel, prefixIndex, configuration, random);
    }

    @Override
    public Optional<EngineRoute> choose(RouteRequest request, List<EngineView> engines) {
        return choose(request, Candidates.of(engines));
    }

    /**
     * Returns the best route among the candidates, or empty when no engine can accept the request. Reads a bounded
     * number of candidates, one at a time.
     */
    public Optional<EngineRoute> choose(RouteRequest request, Candidates candidates) {
        ModelSpec model = configuration.get().models().get(request.model());
        EngineFilter inServingDomain = inServingDomains(model);
        List<PrefixHit> hits = prefixIndex.longestMatches(request.prefixHashes(), MAX_PREFIX_HITS);
        long randomBits = random.getAsLong();
        List<EngineView> decoders = CandidateSampler.sample(
                request,
                candidates,
                candidates.decodeEngines(),
                EngineFilters.DECODE.and(inServingDomain),
                hits,
                randomBits);
        if (decoders.isEmpty()) {
            return Optional.empty();
        }
        List<EngineView> prefillers = CandidateSampler.sample(
                request,
                candidates,
                candidates.prefillEngines(),
                EngineFilters.PREFILL.and(inServingDomain),
                hits,
                ~randomBits);
        int kvBytesPerToken = model == null ? 0 : model.kvBytesPerToken();
        RouteSearch search = RouteSearch.create(costModel, request, kvBytesPerToken);
        search.scan(prefillOptions(request, mergePrefillers(prefillers, decoders)), decoders);
        return search.best();
    }

    /** Returns a filter that accepts the engines in the failure domains of the model. */
    private static EngineFilter inServingDomains(ModelSpec model) {
        if (model == null || model.failureDomains().isEmpty()) {
            return (request, engine) -> true;
        }
        return (request, engine) ->
                model.failureDomains().contains(engine.spec().failureDomain());
    }

    /** Returns the prefill engines and those decode engines that prefill as well, without duplicates. */
    private static List<EngineView> mergePrefillers(List<EngineView> prefillers, List<EngineView> decoders) {
        List<EngineView> all = new ArrayList<>(prefillers);
        for (EngineView engine : decoders) {
            if (engine.role().prefills() && !containsEngine(prefillers, engine.name())) {
                all.add(engine);
            }
        }
        return all;
    }

    private static boolean containsEngine(List<EngineView> engines, String name) {
        for (EngineView engine : engines) {
            if (engine.name().equals(name)) {
                return true;
            }
        }
        return false;
    }

    /** Estimates for each engine how long it takes to process the prompt. */
    private List<PrefillOption> prefillOptions(RouteRequest request, List<EngineView> engines) {
        List<PrefillOption> options = new ArrayList<>(engines.size());
        for (EngineView engine : engines) {
            int cached = prefixIndex.cachedTokens(engine.name(), request.prefixHashes(), request.promptTokens());
            int uncached = request.promptTokens() - cached;
            double prefillMillis =
                    costModel.prefillMillis(priorityQueueModel.viewAtPriority(request.priority(), engine), uncached);
            double otherStreamsDelay = costModel.prefillDelayMillis(engine, uncached);
            double penalty = costModel.penaltyMillis(engine, request.failureDomain());
            options.add(new PrefillOption(engine, cached, prefillMillis, otherStreamsDelay, penalty));
        }
        return options;
    }
}
