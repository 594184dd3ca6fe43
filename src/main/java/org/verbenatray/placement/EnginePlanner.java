package org.verbenatray.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendLoad;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.backends.PrefillWork;
import org.verbenatray.openwork.EngineWork;
import org.verbenatray.time.Ticker;

/**
 * Chooses the engine that prefills a prompt and the engine that decodes it, by the expected time to the first token.
 *
 * <p>A short prompt may be prefilled by a prefill engine, which hands it over, or by a decode engine itself. A long
 * prompt would block a decode engine for all its other requests, so it goes to a prefill engine if there is one. The
 * expected time follows from the open work of all instances at each engine. Among engines with a similar expected time,
 * an engine that has a prefix of the prompt cached is preferred, then the home engine, which all instances derive by
 * rendezvous hashing from the id of the largest shared block. Not thread-safe: all calls come from one thread.
 */
public final class EnginePlanner {
    /** The size from which a prompt counts as long: its cached prefixes are tracked and it has a home engine. */
    private static final int MIN_LONG_PROMPT_TOKENS = 2_048;

    /** The minimum number of additional cached tokens for which a prefix is fetched from another engine. */
    private static final int MIN_FETCH_TOKENS = 512;

    /** The prefill time of a decode engine as a multiple of that of a prefill engine. */
    private static final double DECODE_ENGINE_SLOWDOWN = 2.5;

    /** The delay that each open request of a decode engine adds to the prefill of a new one. */
    private static final double OPEN_REQUEST_MILLIS = 2;

    /** The additional time for fetching a prefix from another engine. */
    private static final double FETCH_MILLIS = 15;

    /** The time that must be saved for a prompt to be prefilled by an engine other than its home engine. */
    private static final double AWAY_FROM_HOME_MILLIS = 20;

    /** The additional time for the handover to a decode engine. */
    private static final double HANDOVER_MILLIS = 30;

    /** The penalty for an engine with a failure rate of 1; lower rates count in proportion. */
    private static final double FAILURE_PENALTY_MILLIS = 2_000;

    /** The requests that are added to those of each engine before they are weighted with its slowness. */
    private static final double BASE_REQUESTS = 3;

    /** The delay that outweighs an engine that generates output half as fast as others, in milliseconds. */
    private static final double SLOW_GENERATION_MILLIS = 8;

    /** The age beyond which a reported load is ignored. */
    private static final long MAX_LOAD_AGE_MILLIS = 3_000;

    /** The maximum number of open requests that the preferred decode engine may have more than the least loaded. */
    private static final double MAX_AFFINITY_EXCESS_REQUESTS = 4;

    private final Ticker ticker;

    private final PrefixCacheIndex prefixCacheIndex;

    private final PrefillTimeModel prefillTimeModel;

    /** Provides the pauses and penalties of engines. */
    private final LeastLoadedChooser chooser;

    private final EngineView view;

    /** Notified of each long prompt that an engine was assigned or has processed. */
    private final PromptPlacementListener placementListener;

    private EnginePlanner(
            Ticker ticker,
            PrefixCacheIndex prefixCacheIndex,
            PrefillTimeModel prefillTimeModel,
            LeastLoadedChooser chooser,
            EngineView view,
            PromptPlacementListener placementListener) {
        this.ticker = ticker;
        this.prefixCacheIndex = prefixCacheIndex;
        this.prefillTimeModel = prefillTimeModel;
        this.chooser = chooser;
        this.view = view;
        this.placementListener = placementListener;
    }

    /**
     * Creates a planner.
     *
     * @param view what is known of engines
     * @param placementListener is notified of each long prompt that an engine was assigned or has processed
     */
    public static EnginePlanner create(
            Ticker ticker,
            PrefixCacheIndex prefixCacheIndex,
            PrefillTimeModel prefillTimeModel,
            LeastLoadedChooser chooser,
            EngineView view,
            PromptPlacementListener placementListener) {
        return new EnginePlanner(ticker, prefixCacheIndex, prefillTimeModel, chooser, view, placementListener);
    }

    /** Returns the model of the time that an engine needs for a prompt. */
    public PrefillTimeModel prefillTimeModel() {
        return prefillTimeModel;
    }

    /** Returns the index of the cached prefixes of all engines. */
    public PrefixCacheIndex prefixCacheIndex() {
        return prefixCacheIndex;
    }

    /**
     * Returns the plan with the lowest cost for the prefill of a prompt.
     *
     * @param prompt the prompt
     * @param engines the engines of the service
     * @param tried the engines that are excluded because they were tried before
     * @param deferred true if the prefill runs only when no other prompt waits
     * @return the plan, without an engine if none is available
     */
    public PrefillPlan planPrefill(
            PromptShape prompt, List<Backend> engines, Collection<Backend> tried, boolean deferred) {
        RatedPlan best = null;
        for (RatedPlan rated : ratePrefill(prompt, engines, tried, deferred)) {
            if (best == null || rated.costMillis() < best.costMillis()) {
                best = rated;
            }
        }
        return best == null ? PrefillPlan.none() : best.plan();
    }

    /** Returns the plans for the prefill of a prompt, one for each engine that may process it, with their costs. */
    public List<RatedPlan> ratePrefill(
            PromptShape prompt, List<Backend> engines, Collection<Backend> tried, boolean deferred) {
        long now = ticker.nanos();
        List<Backend> untried = LeastLoadedChooser.unpausedOrAll(notChangingStage(engines, now), now).stream()
                .filter(engine -> !tried.contains(engine))
                .toList();
        boolean isShort = prompt.promptTokens() < MIN_LONG_PROMPT_TOKENS;
        List<Backend> candidates = isShort ? view.shortPromptEngines().apply(untried) : untried;
        boolean hasDecodeEngine = candidates.stream().anyMatch(engine -> !isPrefill(engine));
        boolean hasPrefillEngine = candidates.stream().anyMatch(EnginePlanner::isPrefill);
        Optional<Backend> cacheHolder = longestCacheHolder(prompt, candidates);
        Optional<Backend> home = homeEngine(prompt, candidates);
        List<RatedPlan> rated = new ArrayList<>();
        for (Backend candidate : candidates) {
            if (isPrefill(candidate) ? !hasDecodeEngine : hasPrefillEngine && !isShort) {
                continue;
            }
            PrefillPlan plan = planAt(candidate, cacheHolder, prompt, deferred);
            boolean awayFromHome = home.isPresent()
                    && home.get() != candidate
                    && cacheHolder.filter(candidate::equals).isEmpty();
            double cost = plan.expectedFirstTokenMillis()
                    + FAILURE_PENALTY_MILLIS * candidate.failureRate()
                    + candidate.delayMillis(now)
                    + view.extraMillis().applyAsDouble(candidate)
                    + (isPrefill(candidate) ? 0 : SLOW_GENERATION_MILLIS * (slowness(candidate) - 1))
                    + (awayFromHome ? AWAY_FROM_HOME_MILLIS : 0)
                    + chooser.penalty(candidate, now);
            rated.add(new RatedPlan(candidate, plan, cost));
        }
        return rated;
    }

    /**
     * Returns the decode engine for a prompt among those that were not tried, or empty if there is none.
     *
     * <p>For a long prompt the engine with the longest cached prefix is preferred, unless it has many more open
     * requests than the least loaded engine.
     */
    public Optional<Backend> chooseDecodeEngine(
            Optional<PromptShape> prompt, List<Backend> engines, Collection<Backend> tried) {
        long now = ticker.nanos();
        List<Backend> decodeEngines = notChangingStage(engines, now).stream()
                .filter(engine -> !isPrefill(engine) && !tried.contains(engine))
                .toList();
        Optional<Backend> leastLoaded = LeastLoadedChooser.unpausedOrAll(decodeEngines, now).stream()
                .min(Comparator.comparingDouble(engine -> weightedRequests(engine) + chooser.penalty(engine, now)));
        if (leastLoaded.isEmpty() || prompt.isEmpty() || prompt.get().promptTokens() < MIN_LONG_PROMPT_TOKENS) {
            return leastLoaded;
        }
        double maxOpenRequests = weightedRequests(leastLoaded.get()) + MAX_AFFINITY_EXCESS_REQUESTS;
        return RendezvousRanking.rank(prompt.get().affinityKey(), decodeEngines, engine -> 1).stream()
                .filter(engine -> !engine.paused(now) && weightedRequests(engine) <= maxOpenRequests)
                .max(Comparator.comparingInt(engine -> cachedTokens(engine, prompt.get())))
                .or(() -> leastLoaded);
    }

    /**
     * Records that the engine of a plan has processed the prompt, and the time in milliseconds that this took.
     *
     * <p>The time trains the prefill time model only if no other work delayed the prompt.
     */
    public void recordPrefilled(PrefillPlan plan, PromptShape prompt, double millis) {
        Backend engine = plan.engine().orElseThrow();
        if (plan.handover()
                && plan.expectedWaitMillis() == 0
                && totalWork(engine).microsAhead(true) == 0
                && plan.fetchFrom().isEmpty()) {
            prefillTimeModel.addMeasurement(plan.cachedTokens(), prompt.promptTokens() - plan.cachedTokens(), millis);
        }
        engine.recordDelay(Math.max(0, millis - plan.expectedFirstTokenMillis()), ticker.nanos());
        recordCached(engine, prompt);
    }

    /** Records that an engine was assigned a prompt, if the prompt is long and not yet expected in its cache. */
    public void recordAssigned(Backend backend, PromptShape prompt) {
        if (prompt.promptTokens() >= MIN_LONG_PROMPT_TOKENS
                && expectedCachedTokens(backend, prompt) < prompt.promptTokens()) {
            prefixCacheIndex.recordAssigned(backend.entry().bootId(), prompt);
            placementListener.promptPlaced(backend, prompt, false);
        }
    }

    /** Records that an engine has cached a prompt, which it processed or fetched, if the prompt is long. */
    public void recordCached(Backend backend, PromptShape prompt) {
        if (prompt.promptTokens() >= MIN_LONG_PROMPT_TOKENS && cachedTokens(backend, prompt) < prompt.promptTokens()) {
            prefixCacheIndex.recordCached(backend.entry().bootId(), prompt);
            placementListener.promptPlaced(backend, prompt, true);
        }
    }

    /** Removes the cached prefixes of an engine that has ended. */
    public void removeEngine(Backend backend) {
        prefixCacheIndex.removeEngine(backend.entry().bootId());
    }

    /** Returns the plan for the prefill of a prompt by the given engine. */
    private PrefillPlan planAt(Backend engine, Optional<Backend> cacheHolder, PromptShape prompt, boolean deferred) {
        int ownTokens = expectedCachedTokens(engine, prompt);
        int cacheHolderTokens =
                cacheHolder.map(other -> cachedTokens(other, prompt)).orElse(0);
        boolean fetches = cacheHolderTokens - ownTokens >= MIN_FETCH_TOKENS;
        int cached = fetches ? cacheHolderTokens : ownTokens;
        double busyMillis = prefillTimeModel.busyMillis(cached, prompt.promptTokens() - cached);
        double slowness = view.slowness().applyAsDouble(engine);
        EngineWork work = totalWork(engine);
        double waitMillis = slowness * work.microsAhead(deferred) / 1_000.0;
        double addedMillis = prefillTimeModel.fixedLatencyMillis() + (fetches ? FETCH_MILLIS : 0);
        if (isPrefill(engine)) {
            addedMillis += slowness * busyMillis + HANDOVER_MILLIS;
        } else {
            waitMillis = DECODE_ENGINE_SLOWDOWN * waitMillis + OPEN_REQUEST_MILLIS * work.openRequests();
            addedMillis += DECODE_ENGINE_SLOWDOWN * slowness * busyMillis;
        }
        return new PrefillPlan(
                Optional.of(engine),
                isPrefill(engine),
                fetches ? cacheHolder : Optional.empty(),
                cached,
                new PrefillWork(Math.round(1_000 * busyMillis), deferred),
                waitMillis,
                waitMillis + addedMillis);
    }

    /** Returns the engine with the longest cached prefix of a long prompt. */
    private Optional<Backend> longestCacheHolder(PromptShape prompt, List<Backend> engines) {
        if (prompt.promptTokens() < MIN_LONG_PROMPT_TOKENS) {
            return Optional.empty();
        }
        return engines.stream()
                .filter(engine -> cachedTokens(engine, prompt) > 0)
                .max(Comparator.comparingInt(engine -> cachedTokens(engine, prompt)));
    }

    /** Returns the home engine of a long prompt: a prefill engine if there is one, otherwise a decode engine. */
    private static Optional<Backend> homeEngine(PromptShape prompt, List<Backend> engines) {
        if (prompt.promptTokens() < MIN_LONG_PROMPT_TOKENS) {
            return Optional.empty();
        }
        List<Backend> prefillEngines =
                engines.stream().filter(EnginePlanner::isPrefill).toList();
        return RendezvousRanking.rank(
                        prompt.affinityKey(), prefillEngines.isEmpty() ? engines : prefillEngines, engine -> 1)
                .stream()
                .findFirst();
    }

    /** Returns the open requests of an engine, which count more the slower it generates output. */
    private double weightedRequests(Backend engine) {
        return (BASE_REQUESTS + totalWork(engine).openRequests()) * slowness(engine);
    }

    /** Returns the time between two events of an engine, as a multiple of that of the others. */
    private double slowness(Backend engine) {
        return view.generationSlowness().applyAsDouble(engine);
    }

    /** Returns the open work of this and all other instances at an engine. */
    private EngineWork totalWork(Backend engine) {
        return view.openWork().apply(engine);
    }

    /** Returns the length of the cached prefix of a prompt at an engine, in tokens. */
    private int cachedTokens(Backend backend, PromptShape prompt) {
        return prefixCacheIndex.cachedTokens(backend.entry().bootId(), prompt);
    }

    /** Returns the expected length of the cached prefix when the engine starts to process the prompt, in tokens. */
    private int expectedCachedTokens(Backend backend, PromptShape prompt) {
        return prefixCacheIndex.expectedCachedTokens(backend.entry().bootId(), prompt);
    }

    /** Returns the engines that do not report that they are changing their stage. */
    private static List<Backend> notChangingStage(List<Backend> engines, long now) {
        return engines.stream()
                .filter(engine -> !engine.load(now, MAX_LOAD_AGE_MILLIS)
                        .map(BackendLoad::changingStage)
                        .orElse(false))
                .toList();
    }

    private static boolean isPrefill(Backend backend) {
        return backend.entry().stage() == BackendStage.PREFILL;
    }

    /**
     * A plan with what it costs.
     *
     * @param engine the engine that would process the prompt
     * @param plan the plan
     * @param costMillis the expected time to the first token and all that speaks against the engine, in milliseconds
     */
    public record RatedPlan(Backend engine, PrefillPlan plan, double costMillis) {}
}
