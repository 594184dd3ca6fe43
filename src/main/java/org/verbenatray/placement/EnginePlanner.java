package org.verbenatray.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.backends.LoadReading;
import org.verbenatray.backends.PromptWork;
import org.verbenatray.openwork.EngineWork;
import org.verbenatray.time.Ticker;

/**
 * Decides which engine processes a prompt and which one generates the tokens, by the expected time to the first token.
 *
 * <p>A short prompt may be processed by a prefill engine, which hands it over, or by a decode engine itself; a long one
 * would keep a decode engine from all others. The open work of all instances at each engine decides. Among engines that
 * are about as fast, the ones that keep the beginning of the prompt come first, then its home, which all instances
 * derive from the name of its largest shared part.
 */
public final class EnginePlanner {
    /** The prompt tokens from which it matters where the beginning of a prompt is kept. */
    private static final int MIN_HOME_TOKENS = 2_048;

    /** The tokens that another engine must keep in addition to be asked for them. */
    private static final int MIN_FETCH_TOKENS = 512;

    /** How many times longer a decode engine is busy with a prompt than a prefill engine. */
    private static final double DECODE_SLOWDOWN = 2.5;

    /** The delay in milliseconds that each open request of a decode engine adds to a new one. */
    private static final double RUN_MILLIS = 2;

    /** The added time in milliseconds of fetching a prompt's beginning from another engine. */
    private static final double FETCH_MILLIS = 15;

    /** The time in milliseconds that must be saved by processing a prompt away from home. */
    private static final double AWAY_MILLIS = 20;

    /** The added time in milliseconds of a handover to a decode engine. */
    private static final double HANDOVER_MILLIS = 30;

    /** The added time in milliseconds that a server that fails every answer is thought to take. */
    private static final double FAILING_MILLIS = 2_000;

    /** The age in milliseconds beyond which a stated load tells nothing. */
    private static final long MAX_LOAD_AGE_MILLIS = 3_000;

    /** The runs that the preferred decode engine may have more than the best one. */
    private static final double AFFINITY_RUNS = 4;

    /** The clock. */
    private final Ticker ticker;

    /** What the engines are believed to keep. */
    private final PrefixMemory memory;

    /** How long prefill engines take. */
    private final PromptTiming timing;

    /** Chooses decode engines. */
    private final PlainChooser chooser;

    /** The open work of the other instances at an engine, by its start. */
    private final Function<String, EngineWork> others;

    /** Hears of each prompt that an engine was given or has processed. */
    private final PromptNews news;

    /** Creates a planner. */
    private EnginePlanner(
            Ticker ticker,
            PrefixMemory memory,
            PromptTiming timing,
            PlainChooser chooser,
            Function<String, EngineWork> others,
            PromptNews news) {
        this.ticker = ticker;
        this.memory = memory;
        this.timing = timing;
        this.chooser = chooser;
        this.others = others;
        this.news = news;
    }

    /** Returns a planner that learns the open work of other instances, and tells of prompts that engines were given. */
    public static EnginePlanner create(
            Ticker ticker,
            PrefixMemory memory,
            PromptTiming timing,
            PlainChooser chooser,
            Function<String, EngineWork> others,
            PromptNews news) {
        return new EnginePlanner(ticker, memory, timing, chooser, others, news);
    }

    /** Returns what the engines are believed to keep. */
    public PrefixMemory memory() {
        return memory;
    }

    /** Returns where a prompt is processed, given the engines of the service and those that were tried. */
    public EnginePlan plan(PromptShape prompt, List<Backend> engines, Collection<Backend> tried, boolean deferred) {
        long now = ticker.nanos();
        List<Backend> candidates = PlainChooser.awake(settled(engines, now), now).stream()
                .filter(engine -> !tried.contains(engine))
                .toList();
        boolean decodes = candidates.stream().anyMatch(engine -> !isPrefill(engine));
        boolean prefills = candidates.stream().anyMatch(EnginePlanner::isPrefill);
        Optional<Backend> holder = holder(prompt, candidates);
        Optional<Backend> home = home(prompt, candidates);
        EnginePlan best = EnginePlan.none();
        double bestCost = Double.MAX_VALUE;
        for (Backend candidate : candidates) {
            if (isPrefill(candidate) ? !decodes : prefills && prompt.promptTokens() >= MIN_HOME_TOKENS) {
                continue;
            }
            EnginePlan plan = at(candidate, holder, prompt, deferred);
            boolean away = home.isPresent()
                    && home.get() != candidate
                    && holder.filter(candidate::equals).isEmpty();
            double cost = plan.firstTokenMillis()
                    + FAILING_MILLIS * candidate.failureShare()
                    + candidate.delayMillis(now)
                    + (away ? AWAY_MILLIS : 0)
                    + chooser.preference(candidate, now);
            if (cost < bestCost) {
                best = plan;
                bestCost = cost;
            }
        }
        return best;
    }

    /** Returns the decode engine for a prompt among those that were not tried. */
    public Optional<Backend> decoder(Optional<PromptShape> prompt, List<Backend> engines, Collection<Backend> tried) {
        long now = ticker.nanos();
        List<Backend> decoders = settled(engines, now).stream()
                .filter(engine -> !isPrefill(engine) && !tried.contains(engine))
                .toList();
        Optional<Backend> least = PlainChooser.awake(decoders, now).stream()
                .min(Comparator.comparingDouble(engine -> work(engine).runs() + chooser.preference(engine, now)));
        if (least.isEmpty() || prompt.isEmpty() || prompt.get().promptTokens() < MIN_HOME_TOKENS) {
            return least;
        }
        double most = work(least.get()).runs() + AFFINITY_RUNS;
        return EngineRanking.rank(prompt.get().affinityKey(), decoders, engine -> 1).stream()
                .filter(engine -> !engine.paused(now) && work(engine).runs() <= most)
                .max(Comparator.comparingInt(engine -> cached(engine, prompt.get())))
                .or(() -> least);
    }

    /** Notes how long an engine took to process a prompt. */
    public void processed(EnginePlan plan, PromptShape prompt, double millis) {
        Backend engine = plan.engine().orElseThrow();
        if (plan.handover()
                && plan.waitMillis() == 0
                && work(engine).ahead(true) == 0
                && plan.fetchFrom().isEmpty()) {
            timing.measured(plan.keptTokens(), prompt.promptTokens() - plan.keptTokens(), millis);
        }
        engine.delayed(Math.max(0, millis - plan.firstTokenMillis()), ticker.nanos());
        holds(engine, prompt);
    }

    /** Notes that an engine was given a prompt to process. */
    public void given(Backend backend, PromptShape prompt) {
        if (prompt.promptTokens() >= MIN_HOME_TOKENS && expected(backend, prompt) < prompt.promptTokens()) {
            memory.given(backend.entry().boot(), prompt);
            news.tell(backend, prompt, false);
        }
    }

    /** Notes that an engine holds a prompt, which it processed or took from another engine. */
    public void holds(Backend backend, PromptShape prompt) {
        if (prompt.promptTokens() >= MIN_HOME_TOKENS && cached(backend, prompt) < prompt.promptTokens()) {
            memory.processed(backend.entry().boot(), prompt);
            news.tell(backend, prompt, true);
        }
    }

    /** Forgets an engine that has ended. */
    public void forget(Backend backend) {
        memory.forget(backend.entry().boot());
    }

    /** Returns the plan to process a prompt at one engine. */
    private EnginePlan at(Backend engine, Optional<Backend> holder, PromptShape prompt, boolean deferred) {
        int own = expected(engine, prompt);
        int held = holder.map(other -> cached(other, prompt)).orElse(0);
        boolean fetches = held - own >= MIN_FETCH_TOKENS;
        int kept = fetches ? held : own;
        double busy = timing.busyMillis(kept, prompt.promptTokens() - kept);
        EngineWork work = work(engine);
        double waiting = work.ahead(deferred) / 1_000.0;
        double added = timing.latencyMillis() + (fetches ? FETCH_MILLIS : 0);
        if (isPrefill(engine)) {
            added += busy + HANDOVER_MILLIS;
        } else {
            waiting = DECODE_SLOWDOWN * waiting + RUN_MILLIS * work.runs();
            added += DECODE_SLOWDOWN * busy;
        }
        return new EnginePlan(
                Optional.of(engine),
                isPrefill(engine),
                fetches ? holder : Optional.empty(),
                kept,
                new PromptWork(Math.round(1_000 * busy), deferred),
                waiting,
                waiting + added);
    }

    /** Returns the engine that keeps most of a long prompt's beginning. */
    private Optional<Backend> holder(PromptShape prompt, List<Backend> engines) {
        if (prompt.promptTokens() < MIN_HOME_TOKENS) {
            return Optional.empty();
        }
        return engines.stream()
                .filter(engine -> cached(engine, prompt) > 0)
                .max(Comparator.comparingInt(engine -> cached(engine, prompt)));
    }

    /** Returns the home of a long prompt: a prefill engine where there is one. */
    private static Optional<Backend> home(PromptShape prompt, List<Backend> engines) {
        if (prompt.promptTokens() < MIN_HOME_TOKENS) {
            return Optional.empty();
        }
        List<Backend> prefills =
                engines.stream().filter(EnginePlanner::isPrefill).toList();
        return EngineRanking.rank(prompt.affinityKey(), prefills.isEmpty() ? engines : prefills, engine -> 1).stream()
                .findFirst();
    }

    /** Returns the open work of all instances at an engine. */
    private EngineWork work(Backend engine) {
        return engine.work().plus(others.apply(engine.entry().boot()));
    }

    /** Returns the tokens at the beginning of a prompt that an engine is believed to keep. */
    private int cached(Backend backend, PromptShape prompt) {
        return memory.cached(backend.entry().boot(), prompt);
    }

    /** Returns the tokens at the beginning of a prompt that an engine keeps by the time that it comes to the prompt. */
    private int expected(Backend backend, PromptShape prompt) {
        return memory.expected(backend.entry().boot(), prompt);
    }

    /** Returns the engines that are not changing their stage. */
    private static List<Backend> settled(List<Backend> engines, long now) {
        return engines.stream()
                .filter(engine -> !engine.load(now, MAX_LOAD_AGE_MILLIS)
                        .map(LoadReading::busy)
                        .orElse(false))
                .toList();
    }

    /** Returns whether an engine processes prompts for others. */
    private static boolean isPrefill(Backend backend) {
        return backend.entry().stage() == BackendStage.PREFILL;
    }
}
