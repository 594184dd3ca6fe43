package org.verbenatray.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.backends.LoadReading;
import org.verbenatray.time.Ticker;

/**
 * Decides which engine processes a prompt and which one generates the tokens.
 *
 * <p>Prompts that share a large part go to the same engine, its home, which all instances derive from the part's name
 * alone. Decode engines are homes too, so that the memory of the whole fleet keeps shared parts; they process prompts
 * more slowly and are the home of fewer parts. A home that is busier by more than the cost of processing the part
 * again loses the prompt to the next engine.
 */
public final class EnginePlanner {
    /** The prompt tokens from which a prompt has a home. */
    private static final int MIN_HOME_TOKENS = 2_048;

    /** How many times slower a decode engine processes a prompt. */
    private static final double DECODE_SLOWDOWN = 2;

    /** The added time in milliseconds of fetching a prompt's beginning from another engine. */
    private static final double FETCH_MILLIS = 15;

    /** The share of a shared part whose processing at another engine costs the others that much time later. */
    private static final double DISPLACEMENT = 0.5;

    /** The wait in milliseconds that another engine must save: stated loads are older than the last few prompts. */
    private static final double AWAY_MILLIS = 150;

    /** The added time in milliseconds of a handover to a decode engine. */
    private static final double HANDOVER_MILLIS = 15;

    /** The added time in milliseconds that a server that fails every answer is thought to take. */
    private static final double FAILING_MILLIS = 2_000;

    /** The tokens of an average prompt before the first was seen. */
    private static final double ASSUMED_TOKENS = 6_000;

    /** The tokens of an average prompt that a decode engine has waiting. */
    private static final double SHORT_TOKENS = 500;

    /** The weight of the newest prompt in the average. */
    private static final double NEWEST = 0.05;

    /** The age in milliseconds beyond which a stated load tells nothing. */
    private static final long MAX_LOAD_AGE_MILLIS = 3_000;

    /** The runs that the preferred decode engine may have more than the best one. */
    private static final double AFFINITY_RUNS = 4;

    /** The weight of an open request of this instance against one that an engine states. */
    private static final double OWN_WEIGHT = 2;

    /** The weight of a request that an engine states. */
    private static final double STATED_WEIGHT = 0.5;

    /** The engines whose load is asked for before a prompt is sent. */
    private static final int MAX_DECIDING = 3;

    /** The clock. */
    private final Ticker ticker;

    /** What the engines are believed to keep. */
    private final PrefixMemory memory;

    /** How long prefill engines take. */
    private final PrefillTiming timing;

    /** Chooses decode engines. */
    private final PlainChooser chooser;

    /** The average of the tokens that prefill engines process for a prompt. */
    private double meanTokens = ASSUMED_TOKENS;

    /** Creates a planner. */
    private EnginePlanner(Ticker ticker, PrefixMemory memory, PrefillTiming timing, PlainChooser chooser) {
        this.ticker = ticker;
        this.memory = memory;
        this.timing = timing;
        this.chooser = chooser;
    }

    /** Returns a planner. */
    public static EnginePlanner create(Ticker ticker, PrefixMemory memory, PrefillTiming timing, PlainChooser chooser) {
        return new EnginePlanner(ticker, memory, timing, chooser);
    }

    /** Returns what the engines are believed to keep. */
    public PrefixMemory memory() {
        return memory;
    }

    /** Returns the engines whose load decides where a prompt is processed. */
    public List<Backend> deciding(PromptShape prompt, List<Backend> engines) {
        if (prompt.promptTokens() < MIN_HOME_TOKENS) {
            return List.of();
        }
        List<Backend> prefills =
                engines.stream().filter(EnginePlanner::isPrefill).toList();
        return EngineRanking.rank(prompt.affinityKey(), prefills, engine -> 1).stream()
                .limit(MAX_DECIDING)
                .toList();
    }

    /** Returns where a prompt is processed, given the engines of the service and those that were tried. */
    public EnginePlan plan(PromptShape prompt, List<Backend> engines, Collection<Backend> tried) {
        if (prompt.promptTokens() < MIN_HOME_TOKENS) {
            Optional<Backend> decoder = decoder(Optional.empty(), engines, tried);
            return new EnginePlan(decoder, false, Optional.empty(), prompt.promptTokens(), 0, 0);
        }
        long now = ticker.nanos();
        List<Backend> awake = PlainChooser.awake(settled(engines, now), now);
        List<Backend> prefills = awake.stream().filter(EnginePlanner::isPrefill).toList();
        Optional<Backend> holder = awake.stream()
                .filter(engine -> cached(engine, prompt) > 0)
                .max(Comparator.comparingInt(engine -> cached(engine, prompt)));
        int held = holder.map(engine -> cached(engine, prompt)).orElse(0);
        double elsewhere = AWAY_MILLIS + DISPLACEMENT * timing.millisFor(Math.max(0, prompt.sharedTokens() - held));
        List<Backend> ranked =
                EngineRanking.rank(prompt.affinityKey(), prefills.isEmpty() ? awake : prefills, engine -> 1);
        EnginePlan best = new EnginePlan(Optional.empty(), false, Optional.empty(), 0, 0, 0);
        double bestCost = Double.MAX_VALUE;
        for (int rank = 0; rank < ranked.size(); rank++) {
            Backend candidate = ranked.get(rank);
            if (tried.contains(candidate)) {
                continue;
            }
            int own = cached(candidate, prompt);
            int tokens = prompt.promptTokens() - Math.max(own, held);
            double waiting = waitMillis(candidate, now);
            double millis = waiting + millis(candidate, tokens) + (own < held ? FETCH_MILLIS : 0);
            double cost = millis + (rank == 0 ? 0 : elsewhere);
            if (cost < bestCost) {
                best = new EnginePlan(
                        Optional.of(candidate),
                        isPrefill(candidate),
                        own < held ? holder : Optional.empty(),
                        tokens,
                        waiting,
                        millis);
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
                .min(Comparator.comparingDouble(engine -> runs(engine, now) + chooser.preference(engine, now)));
        if (least.isEmpty() || prompt.isEmpty() || prompt.get().promptTokens() < MIN_HOME_TOKENS) {
            return least;
        }
        double most = runs(least.get(), now) + AFFINITY_RUNS;
        return EngineRanking.rank(prompt.get().affinityKey(), decoders, engine -> 1).stream()
                .filter(engine -> !engine.paused(now) && runs(engine, now) <= most)
                .max(Comparator.comparingInt(engine -> cached(engine, prompt.get())))
                .or(() -> least);
    }

    /** Notes that a prefill engine has processed a prompt in the given time. */
    public void prefilled(Backend backend, PromptShape prompt, int expectedTokens, double millis) {
        timing.measured(expectedTokens, millis);
        meanTokens += (expectedTokens - meanTokens) * NEWEST;
        memory.processed(backend.entry().boot(), prompt);
    }

    /** Notes that a decode engine holds a prompt, which it processed or took from another engine. */
    public void holds(Backend backend, PromptShape prompt) {
        if (prompt.promptTokens() >= MIN_HOME_TOKENS) {
            memory.processed(backend.entry().boot(), prompt);
        }
    }

    /** Forgets an engine that has ended. */
    public void forget(Backend backend) {
        memory.forget(backend.entry().boot());
    }

    /** Returns the tokens at the beginning of a prompt that an engine is believed to keep. */
    private int cached(Backend backend, PromptShape prompt) {
        return memory.cached(backend.entry().boot(), prompt);
    }

    /** Returns the expected time that a prompt waits for others at an engine, in milliseconds. */
    private double waitMillis(Backend backend, long now) {
        Optional<LoadReading> load = backend.load(now, MAX_LOAD_AGE_MILLIS);
        if (isPrefill(backend)) {
            double waiting = load.map(stated -> stated.waiting() + stated.running() / 2.0 + backend.openedSinceLoad())
                    .orElse((double) backend.open());
            return timing.millisFor(waiting * meanTokens);
        }
        double waiting = load.map(LoadReading::waiting).orElse(0) * SHORT_TOKENS;
        return DECODE_SLOWDOWN * timing.millisFor(backend.openPromptTokens() + waiting);
    }

    /** Returns the expected time that an engine takes for a prompt itself, in milliseconds. */
    private double millis(Backend backend, int tokens) {
        double failing = FAILING_MILLIS * backend.failureShare() + timing.fixedMillis();
        return isPrefill(backend)
                ? failing + HANDOVER_MILLIS + timing.millisFor(tokens)
                : failing + DECODE_SLOWDOWN * timing.millisFor(tokens);
    }

    /** Returns the engines that are not changing their stage. */
    private static List<Backend> settled(List<Backend> engines, long now) {
        return engines.stream()
                .filter(engine -> !engine.load(now, MAX_LOAD_AGE_MILLIS)
                        .map(LoadReading::busy)
                        .orElse(false))
                .toList();
    }

    /** Returns the runs of an engine, its own statement corrected by what this instance sent. */
    private static double runs(Backend backend, long now) {
        double stated = backend.load(now, MAX_LOAD_AGE_MILLIS)
                .map(load -> (double) load.running() + load.waiting())
                .orElse(0.0);
        return OWN_WEIGHT * backend.open() + STATED_WEIGHT * stated;
    }

    /** Returns whether an engine processes prompts for others. */
    private static boolean isPrefill(Backend backend) {
        return backend.entry().stage() == BackendStage.PREFILL;
    }
}
