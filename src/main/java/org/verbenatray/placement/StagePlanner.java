package org.verbenatray.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendLoad;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * Decides when to move engines from one stage to the other.
 *
 * <p>Engines are moved to a stage that is short of capacity while the other stage has capacity to spare. In a small
 * fleet they are moved one at a time, when prompts queue, and only while the reported loads of all engines are recent.
 * In a large one the split follows the share of the time in which prefill engines are busy, several engines at once;
 * there the loads of most engines must be recent, as some engine is always restarting.
 */
public final class StagePlanner {
    /** The waiting prompts per prefill engine above which the prefill stage is short of capacity. */
    private static final double OVERLOADED_PREFILL_QUEUE = 1.2;

    /** The waiting prompts per prefill engine below which an engine can be spared. */
    private static final double IDLE_PREFILL_QUEUE = 0.2;

    /** The share of used slots above which the decode stage is short of capacity. */
    private static final double OVERLOADED_DECODE_USAGE = 0.85;

    /** The share of used slots below which a decode engine can be spared. */
    private static final double IDLE_DECODE_USAGE = 0.3;

    /** The minimum share of decode engines among all engines. */
    private static final double MIN_DECODE_SHARE = 0.35;

    /** The number of engines from which a fleet is large. */
    private static final int MIN_LARGE_FLEET = 24;

    /** The share of the engines of a large fleet whose reported loads must be recent. */
    private static final double MIN_REPORTING_SHARE = 0.75;

    /** The share of busy prefill engines above which a large fleet needs more of them. */
    private static final double MAX_PREFILL_BUSY = 0.6;

    /** The share of busy prefill engines that a large fleet aims at, so that few prompts wait in a burst. */
    private static final double AIMED_PREFILL_BUSY = 0.45;

    /** The share of busy prefill engines below which a large fleet can spare some. */
    private static final double MIN_PREFILL_BUSY = 0.25;

    /** The share of used slots that a large fleet keeps below when it takes decode engines away. */
    private static final double MAX_DECODE_USAGE_AFTER = 0.4;

    /** The share of the engines of a large fleet that change their stage at once at most. */
    private static final double MAX_CHANGE_SHARE = 0.06;

    /** The weight of a new value in the exponential moving averages. */
    private static final double EWMA_WEIGHT = 0.2;

    /** The minimum time between two changes, so that the first one takes effect. */
    private static final long MIN_INTERVAL_MILLIS = 4_000;

    /** The age beyond which a reported load is ignored. */
    private static final long MAX_LOAD_AGE_MILLIS = 3_000;

    private final Ticker ticker;

    /** Returns how much slower an engine generates output than the others; slow ones become prefill engines first. */
    private final ToDoubleFunction<Backend> generationSlowness;

    /** The moving average of the waiting prompts per prefill engine. */
    private double prefillQueue;

    /** The moving average of the share of prefill engines that have a prompt. */
    private double prefillBusy;

    /** The moving average of the share of used slots of the decode engines. */
    private double decodeUsage;

    /** The earliest time of the next change. */
    private Deadline nextChange = new Deadline(0);

    private StagePlanner(Ticker ticker, ToDoubleFunction<Backend> generationSlowness) {
        this.ticker = ticker;
        this.generationSlowness = generationSlowness;
        this.nextChange = new Deadline(ticker.nanos());
    }

    /**
     * Creates a planner whose averages start at zero.
     *
     * @param generationSlowness returns how much slower an engine generates output than the others, 1 if it does not
     */
    public static StagePlanner create(Ticker ticker, ToDoubleFunction<Backend> generationSlowness) {
        return new StagePlanner(ticker, generationSlowness);
    }

    /**
     * Updates the averages and returns the changes to make now.
     *
     * @param engines the engines of a service
     * @param slots the number of requests that an engine runs concurrently
     */
    public List<StageChange> planChanges(List<Backend> engines, int slots) {
        long now = ticker.nanos();
        List<Backend> reporting = engines.stream()
                .filter(engine -> engine.load(now, MAX_LOAD_AGE_MILLIS).isPresent())
                .toList();
        List<Backend> prefillEngines =
                reporting.stream().filter(StagePlanner::isPrefill).toList();
        List<Backend> decodeEngines =
                reporting.stream().filter(engine -> !isPrefill(engine)).toList();
        boolean isLarge = engines.size() >= MIN_LARGE_FLEET;
        double needed = isLarge ? MIN_REPORTING_SHARE * engines.size() : engines.size();
        if (reporting.size() < needed || prefillEngines.isEmpty() || decodeEngines.isEmpty()) {
            return List.of();
        }
        prefillQueue += (mean(prefillEngines, BackendLoad::waitingRequests, now) - prefillQueue) * EWMA_WEIGHT;
        double busy = mean(prefillEngines, load -> Math.min(1, load.waitingRequests() + load.runningRequests()), now);
        prefillBusy += (busy - prefillBusy) * EWMA_WEIGHT;
        double used = mean(decodeEngines, load -> load.runningRequests() + load.waitingRequests(), now) / slots;
        decodeUsage += (used - decodeUsage) * EWMA_WEIGHT;
        boolean changing = reporting.stream()
                .anyMatch(engine -> engine.load(now, MAX_LOAD_AGE_MILLIS).get().changingStage());
        if (changing && !isLarge || !nextChange.hasPassed(now)) {
            return List.of();
        }
        List<StageChange> changes = isLarge
                ? changesOfLargeFleet(prefillEngines, decodeEngines, Math.max(used, decodeUsage), now)
                : change(prefillEngines, decodeEngines, now).stream().toList();
        if (!changes.isEmpty()) {
            nextChange = Deadline.afterMillis(now, MIN_INTERVAL_MILLIS);
        }
        return changes;
    }

    /** Returns the changes that bring the share of busy prefill engines of a large fleet near what it aims at. */
    private List<StageChange> changesOfLargeFleet(
            List<Backend> prefillEngines, List<Backend> decodeEngines, double usage, long now) {
        int prefill = prefillEngines.size();
        int decode = decodeEngines.size();
        int most = (int) Math.ceil(MAX_CHANGE_SHARE * (prefill + decode));
        int aimed = (int) Math.ceil(prefill * prefillBusy / AIMED_PREFILL_BUSY);
        if (prefillBusy > MAX_PREFILL_BUSY) {
            int neededDecode = (int) Math.ceil(decode * usage / MAX_DECODE_USAGE_AFTER);
            int spared = decode - Math.max(neededDecode, (int) Math.ceil(MIN_DECODE_SHARE * (prefill + decode)));
            return toStage(BackendStage.PREFILL, decodeEngines, Math.min(most, Math.min(spared, aimed - prefill)), now);
        }
        if (prefillBusy < MIN_PREFILL_BUSY && decodeUsage > OVERLOADED_DECODE_USAGE) {
            int spared = Math.min(prefill - 1, prefill - aimed);
            return toStage(BackendStage.DECODE, prefillEngines, Math.min(most, spared), now);
        }
        return List.of();
    }

    /** Returns the changes of the given number of engines: slow ones first to prefill, the least loaded ones then. */
    private List<StageChange> toStage(BackendStage stage, List<Backend> engines, int count, long now) {
        double sign = stage == BackendStage.PREFILL ? -1 : 1;
        List<Backend> candidates = engines.stream()
                .sorted(Comparator.<Backend>comparingDouble(
                                engine -> sign * Math.round(4 * generationSlowness.applyAsDouble(engine)))
                        .thenComparingInt(engine -> openRequests(engine, now)))
                .toList();
        List<Backend> remaining = new ArrayList<>(engines);
        List<StageChange> changes = new ArrayList<>();
        for (Backend engine : candidates) {
            if (changes.size() < count && hasOtherInDomain(engine, remaining)) {
                remaining.remove(engine);
                changes.add(new StageChange(engine, stage));
            }
        }
        return changes;
    }

    /** Returns the change that the averages call for, if there is one. */
    private Optional<StageChange> change(List<Backend> prefillEngines, List<Backend> decodeEngines, long now) {
        int engineCount = prefillEngines.size() + decodeEngines.size();
        boolean canSpareDecode = decodeEngines.size() - 1 >= Math.max(1, MIN_DECODE_SHARE * engineCount);
        if (prefillQueue > OVERLOADED_PREFILL_QUEUE && decodeUsage < IDLE_DECODE_USAGE && canSpareDecode) {
            List<Backend> spared = decodeEngines.stream()
                    .filter(engine -> hasOtherInDomain(engine, decodeEngines))
                    .toList();
            return leastLoaded(spared, now).map(engine -> new StageChange(engine, BackendStage.PREFILL));
        }
        if (decodeUsage > OVERLOADED_DECODE_USAGE && prefillQueue < IDLE_PREFILL_QUEUE && prefillEngines.size() > 1) {
            return leastLoaded(prefillEngines, now).map(engine -> new StageChange(engine, BackendStage.DECODE));
        }
        return Optional.empty();
    }

    /** Returns true if its failure domain has another engine of the stage, so that it can serve while it is cut off. */
    private static boolean hasOtherInDomain(Backend engine, List<Backend> engines) {
        return engines.stream()
                .anyMatch(other -> other != engine
                        && other.entry().domain().equals(engine.entry().domain()));
    }

    /** Returns the engine with the fewest waiting and running requests. */
    private static Optional<Backend> leastLoaded(List<Backend> engines, long now) {
        return engines.stream().min(Comparator.comparingInt(engine -> openRequests(engine, now)));
    }

    private static int openRequests(Backend engine, long now) {
        BackendLoad load = engine.load(now, MAX_LOAD_AGE_MILLIS).orElseThrow();
        return load.runningRequests() + load.waitingRequests();
    }

    /** Returns the mean of a figure of the reported loads. */
    private static double mean(List<Backend> engines, ToDoubleFunction<BackendLoad> figure, long now) {
        return engines.stream()
                .mapToDouble(engine -> figure.applyAsDouble(
                        engine.load(now, MAX_LOAD_AGE_MILLIS).orElseThrow()))
                .average()
                .orElse(0);
    }

    private static boolean isPrefill(Backend engine) {
        return engine.entry().stage() == BackendStage.PREFILL;
    }

    /**
     * A change of the stage of one engine.
     *
     * @param engine the engine
     * @param stage the new stage
     */
    public record StageChange(Backend engine, BackendStage stage) {}
}
