package org.verbenatray.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.backends.LoadReading;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * Decides when an engine of one stage is to serve the other one.
 *
 * <p>An engine is moved to the stage whose work waits while the other stage has room, one at a time, and only on loads
 * that are fresh for every engine.
 */
public final class StagePlanner {
    /** The prompts that wait per prefill engine from which decode engines are moved there. */
    private static final double PRESSED_PREFILL = 1.2;

    /** The prompts that wait per prefill engine up to which one can be spared. */
    private static final double IDLE_PREFILL = 0.2;

    /** The share of the slots of decode engines from which they are short. */
    private static final double PRESSED_DECODE = 0.85;

    /** The share of the slots of decode engines up to which one can be spared. */
    private static final double IDLE_DECODE = 0.3;

    /** The smallest share of the engines that generate tokens. */
    private static final double LEAST_DECODE = 0.35;

    /** The weight of the newest value in the averages. */
    private static final double NEWEST = 0.2;

    /** The time between two changes in milliseconds, in which the first one takes effect. */
    private static final long BETWEEN_MILLIS = 4_000;

    /** The age in milliseconds beyond which a load tells nothing. */
    private static final long MAX_LOAD_AGE_MILLIS = 3_000;

    /** The clock. */
    private final Ticker ticker;

    /** The average of the prompts that wait per prefill engine. */
    private double prefillPressure;

    /** The average of the used share of the slots of decode engines. */
    private double decodePressure;

    /** When the next change may be made. */
    private Deadline next = new Deadline(0);

    /** Creates a planner. */
    private StagePlanner(Ticker ticker) {
        this.ticker = ticker;
        this.next = new Deadline(ticker.nanos());
    }

    /** Returns a planner that has seen no load yet. */
    public static StagePlanner create(Ticker ticker) {
        return new StagePlanner(ticker);
    }

    /** Returns the change to order now, given the engines of a service and the requests that one runs at once. */
    public Optional<StageChange> plan(List<Backend> engines, int slots) {
        long now = ticker.nanos();
        List<Backend> known = engines.stream()
                .filter(engine -> engine.load(now, MAX_LOAD_AGE_MILLIS).isPresent())
                .toList();
        List<Backend> prefills = known.stream().filter(StagePlanner::isPrefill).toList();
        List<Backend> decoders =
                known.stream().filter(engine -> !isPrefill(engine)).toList();
        if (known.size() < engines.size() || prefills.isEmpty() || decoders.isEmpty()) {
            return Optional.empty();
        }
        prefillPressure += (mean(prefills, LoadReading::waiting, now) - prefillPressure) * NEWEST;
        double used = mean(decoders, load -> load.running() + load.waiting(), now) / slots;
        decodePressure += (used - decodePressure) * NEWEST;
        boolean changing = known.stream()
                .anyMatch(engine -> engine.load(now, MAX_LOAD_AGE_MILLIS).get().busy());
        if (changing || !next.passed(now)) {
            return Optional.empty();
        }
        Optional<StageChange> change = change(prefills, decoders, now);
        change.ifPresent(made -> next = Deadline.afterMillis(now, BETWEEN_MILLIS));
        return change;
    }

    /** Returns the change that the averages ask for. */
    private Optional<StageChange> change(List<Backend> prefills, List<Backend> decoders, long now) {
        int all = prefills.size() + decoders.size();
        boolean sparesDecode = decoders.size() - 1 >= Math.max(1, LEAST_DECODE * all);
        if (prefillPressure > PRESSED_PREFILL && decodePressure < IDLE_DECODE && sparesDecode) {
            List<Backend> spared = decoders.stream()
                    .filter(engine -> hasSibling(engine, decoders))
                    .toList();
            return idlest(spared, now).map(engine -> new StageChange(engine, BackendStage.PREFILL));
        }
        if (decodePressure > PRESSED_DECODE && prefillPressure < IDLE_PREFILL && prefills.size() > 1) {
            return idlest(prefills, now).map(engine -> new StageChange(engine, BackendStage.DECODE));
        }
        return Optional.empty();
    }

    /** Returns whether a failure domain keeps a decode engine without the given one, for when it is cut off. */
    private static boolean hasSibling(Backend engine, List<Backend> decoders) {
        return decoders.stream()
                .anyMatch(other -> other != engine
                        && other.entry().domain().equals(engine.entry().domain()));
    }

    /** Returns the engine with the least to finish. */
    private static Optional<Backend> idlest(List<Backend> engines, long now) {
        return engines.stream().min(Comparator.comparingInt(engine -> {
            LoadReading load = engine.load(now, MAX_LOAD_AGE_MILLIS).orElseThrow();
            return load.running() + load.waiting();
        }));
    }

    /** Returns the mean of a stated figure. */
    private static double mean(
            List<Backend> engines, java.util.function.ToDoubleFunction<LoadReading> figure, long now) {
        return engines.stream()
                .mapToDouble(engine -> figure.applyAsDouble(
                        engine.load(now, MAX_LOAD_AGE_MILLIS).orElseThrow()))
                .average()
                .orElse(0);
    }

    /** Returns whether an engine processes prompts for others. */
    private static boolean isPrefill(Backend engine) {
        return engine.entry().stage() == BackendStage.PREFILL;
    }

    /**
     * A change of one engine.
     *
     * @param engine the engine
     * @param stage its stage to come
     */
    public record StageChange(Backend engine, BackendStage stage) {}
}
