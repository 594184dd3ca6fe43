package org.verbenatray.placement;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.time.Ticker;

/**
 * Decides whether a prompt is processed by a prefill engine first, and by which one.
 *
 * <p>Prompts that share a large part go to the same engine, which all instances derive from the part's name alone; an
 * engine that is busier by more than the cost of processing the part again loses the prompt to the next one.
 */
public final class EnginePlanner {
    /** The prompt tokens not yet processed from which a prefill engine pays. */
    private static final int MIN_PREFILL_TOKENS = 1_024;

    /** How many times slower a decode engine processes a prompt. */
    private static final double DECODE_SLOWDOWN = 2;

    /** The share of a prompt's shared part that processing it at another engine than its home costs the others. */
    private static final double DISPLACEMENT = 0.5;

    /** The added time in milliseconds of a handover to a decode engine. */
    private static final double HANDOVER_MILLIS = 15;

    /** The added time in milliseconds that a server that fails every answer is thought to take. */
    private static final double FAILING_MILLIS = 2_000;

    /** The clock. */
    private final Ticker ticker;

    /** What the engines are believed to keep. */
    private final PrefixMemory memory;

    /** The speed of prefill engines. */
    private final PrefillSpeed speed;

    /** Chooses decode engines. */
    private final PlainChooser chooser;

    /** Creates a planner. */
    private EnginePlanner(Ticker ticker, PrefixMemory memory, PrefillSpeed speed, PlainChooser chooser) {
        this.ticker = ticker;
        this.memory = memory;
        this.speed = speed;
        this.chooser = chooser;
    }

    /** Returns a planner. */
    public static EnginePlanner create(Ticker ticker, PrefixMemory memory, PrefillSpeed speed, PlainChooser chooser) {
        return new EnginePlanner(ticker, memory, speed, chooser);
    }

    /** Returns where the prompt is processed, given the engines of the service and those that were tried. */
    public EnginePlan plan(PromptShape prompt, List<Backend> engines, Collection<Backend> tried) {
        long now = ticker.nanos();
        List<Backend> decoders = decoders(engines);
        if (prompt.promptTokens() < MIN_PREFILL_TOKENS && !decoders.isEmpty()) {
            return new EnginePlan(Optional.empty(), 0, Optional.empty(), 0);
        }
        Optional<Backend> decoder = decoders.stream()
                .filter(backend -> !backend.paused(now))
                .min(Comparator.comparingDouble(backend -> directMillis(prompt, backend)));
        double direct = decoder.map(backend -> directMillis(prompt, backend)).orElse(Double.MAX_VALUE);
        List<Backend> ranked = ranked(prompt, PlainChooser.awake(prefillers(engines), now));
        Backend best = null;
        double bestCost = Double.MAX_VALUE;
        double bestMillis = 0;
        for (int rank = 0; rank < ranked.size(); rank++) {
            Backend candidate = ranked.get(rank);
            if (tried.contains(candidate)) {
                continue;
            }
            double millis = prefillMillis(prompt, candidate, now) + HANDOVER_MILLIS;
            double cost = millis + (rank == 0 ? 0 : DISPLACEMENT * speed.millisFor(prompt.sharedTokens()));
            if (cost < bestCost) {
                best = candidate;
                bestCost = cost;
                bestMillis = millis;
            }
        }
        if (best == null || direct < bestMillis) {
            return new EnginePlan(Optional.empty(), 0, decoder, direct);
        }
        return new EnginePlan(Optional.of(best), uncached(prompt, best), Optional.empty(), bestMillis);
    }

    /** Returns the decode engine for a prompt among those that were not tried. */
    public Optional<Backend> decoder(List<Backend> engines, Collection<Backend> tried) {
        return chooser.choose(decoders(engines), tried, ticker.nanos());
    }

    /** Notes that an engine has processed a prompt in the given time. */
    public void prefilled(Backend backend, PromptShape prompt, int expectedTokens, double millis, long cacheTokens) {
        double expected = speed.millisFor(expectedTokens);
        speed.measured(expectedTokens, millis);
        backend.delayed(Math.max(0, millis - expected), ticker.nanos());
        memory.processed(backend.entry().boot(), prompt, cacheTokens);
    }

    /** Notes that a decode engine holds a prompt, which it processed or took from another engine. */
    public void holds(Backend backend, PromptShape prompt, long cacheTokens) {
        if (prompt.promptTokens() >= MIN_PREFILL_TOKENS) {
            memory.processed(backend.entry().boot(), prompt, cacheTokens);
        }
    }

    /** Forgets an engine that has ended. */
    public void forget(Backend backend) {
        memory.forget(backend.entry().boot());
    }

    /** Returns the tokens that an engine would have to process. */
    private int uncached(PromptShape prompt, Backend backend) {
        return Math.max(0, prompt.promptTokens() - memory.cached(backend.entry().boot(), prompt));
    }

    /** Returns the expected time at a prefill engine in milliseconds. */
    private double prefillMillis(PromptShape prompt, Backend backend, long now) {
        return backend.delayMillis(now)
                + speed.millisFor(backend.openPromptTokens() + uncached(prompt, backend))
                + FAILING_MILLIS * backend.failureShare();
    }

    /** Returns the expected time in milliseconds at a decode engine that processes the prompt itself. */
    private double directMillis(PromptShape prompt, Backend backend) {
        long tokens = backend.openPromptTokens() + uncached(prompt, backend);
        return DECODE_SLOWDOWN * speed.millisFor(tokens) + FAILING_MILLIS * backend.failureShare();
    }

    /** Returns the engines in the order in which the prompt prefers them, the same at every instance. */
    private static List<Backend> ranked(PromptShape prompt, List<Backend> engines) {
        String key = prompt.affinityKey();
        return engines.stream()
                .sorted(Comparator.comparingLong(
                        backend -> -affinity(key, backend.entry().id())))
                .toList();
    }

    /** Returns the affinity of a shared part to an engine. */
    private static long affinity(String key, String engine) {
        return Hashing.murmur3_128()
                        .hashString(key + "|" + engine, StandardCharsets.UTF_8)
                        .asLong()
                >>> 1;
    }

    /** Returns the engines that process prompts for others. */
    private static List<Backend> prefillers(List<Backend> engines) {
        return engines.stream()
                .filter(backend -> backend.entry().stage() == BackendStage.PREFILL)
                .toList();
    }

    /** Returns the engines that generate tokens. */
    private static List<Backend> decoders(List<Backend> engines) {
        return engines.stream()
                .filter(backend -> backend.entry().stage() != BackendStage.PREFILL)
                .toList();
    }
}
