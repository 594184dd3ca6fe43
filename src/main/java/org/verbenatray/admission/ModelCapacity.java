package org.verbenatray.admission;

import java.util.List;
import org.verbenatray.fleet.EngineCondition;
import org.verbenatray.fleet.EngineView;

/**
 * What the engines of one model can do together.
 *
 * @param prefillTokensPerSecond the rate of all engines that process prompts
 * @param enginePrefillTokensPerSecond the rate of the fastest of them
 * @param streamSlots the streams that the engines can generate at once
 * @param betweenTokensMillis the time between tokens of a full batch in milliseconds, as a mean over the engines
 * @param largestKvTokens the largest KV cache of an engine in tokens
 */
public record ModelCapacity(
        double prefillTokensPerSecond,
        double enginePrefillTokensPerSecond,
        int streamSlots,
        double betweenTokensMillis,
        long largestKvTokens) {
    /** No capacity. */
    public static final ModelCapacity NONE = new ModelCapacity(0, 0, 0, 0, 0);

    /** Milliseconds in one second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Returns the capacity of the engines that are configured for the model and take new work. */
    public static ModelCapacity of(String model, List<EngineView> engines) {
        double prefillRate = 0;
        double fastest = 0;
        int slots = 0;
        double stepSum = 0;
        long largestKv = 0;
        for (EngineView engine : engines) {
            if (!counts(model, engine)) {
                continue;
            }
            if (engine.role().prefills()) {
                prefillRate += engine.spec().prefillTokensPerSecond();
                fastest = Math.max(fastest, engine.spec().prefillTokensPerSecond());
            }
            if (engine.role().decodes()) {
                slots += engine.spec().maxStreams();
                stepSum += engine.spec().maxStreams() * fullBatchMillis(engine);
                largestKv = Math.max(largestKv, engine.spec().kvTokens());
            }
        }
        return new ModelCapacity(prefillRate, fastest, slots, slots == 0 ? 0 : stepSum / slots, largestKv);
    }

    /** Returns whether the engines can serve anything. */
    public boolean serves() {
        return prefillTokensPerSecond > 0 && streamSlots > 0;
    }

    /** Returns the time in which all engines together finish the work in milliseconds. */
    public double drainMillis(Work work) {
        if (!serves()) {
            return Double.POSITIVE_INFINITY;
        }
        double prefillMillis = work.promptTokens() / prefillTokensPerSecond * MILLIS_PER_SECOND;
        double decodeMillis = work.outputTokens() * betweenTokensMillis / streamSlots;
        return Math.max(prefillMillis, decodeMillis);
    }

    /** Returns the time that one request takes on the engines in milliseconds, without any wait. */
    public double serviceMillis(Work work) {
        if (!serves()) {
            return Double.POSITIVE_INFINITY;
        }
        double prefillMillis = work.promptTokens() / enginePrefillTokensPerSecond * MILLIS_PER_SECOND;
        return prefillMillis + work.outputTokens() * betweenTokensMillis;
    }

    /** Returns whether an engine counts for the model. */
    private static boolean counts(String model, EngineView engine) {
        boolean configured =
                engine.spec().models().isEmpty() || engine.spec().models().contains(model);
        return configured && engine.condition() == EngineCondition.READY;
    }

    /** Returns the time of one step of a full batch. */
    private static double fullBatchMillis(EngineView engine) {
        int further = Math.max(0, engine.spec().maxStreams() - 1);
        return engine.spec().decodeStepMillis() + further * engine.spec().decodeStepMillisPerStream();
    }
}
