package org.verbenatray.admission;

import java.util.List;
import org.verbenatray.fleet.EngineCondition;
import org.verbenatray.fleet.EngineView;

/**
 * The combined capacity of the engines that serve one model.
 *
 * @param prefillTokensPerSecond the total rate of all engines that process prompts
 * @param fastestPrefillTokensPerSecond the rate of the fastest of them
 * @param streamSlots the number of streams that the engines can generate at once
 * @param betweenTokensMillis the time between tokens of a full batch in milliseconds, averaged over the stream slots
 * @param largestKvTokens the largest KV cache of an engine in tokens
 */
public record ModelCapacity(
        double prefillTokensPerSecond,
        double fastestPrefillTokensPerSecond,
        int streamSlots,
        double betweenTokensMillis,
        long largestKvTokens) {
    /** The capacity of a model without engines. */
    public static final ModelCapacity NONE = new ModelCapacity(0, 0, 0, 0, 0);

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Returns the combined capacity of the engines that are configured for the model and accept new requests. */
    public static ModelCapacity of(String model, List<EngineView> engines) {
        double prefillRate = 0;
        double fastest = 0;
        int slots = 0;
        double stepSum = 0;
        long largestKv = 0;
        for (EngineView engine : engines) {
            if (!isUsable(model, engine)) {
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

    /** Returns whether the engines can both prefill and decode. */
    public boolean canServe() {
        return prefillTokensPerSecond > 0 && streamSlots > 0;
    }

    /**
     * Returns the time in milliseconds in which all engines together finish the work, infinite when they cannot serve.
     */
    public double drainMillis(Work work) {
        if (!canServe()) {
            return Double.POSITIVE_INFINITY;
        }
        double prefillMillis = work.promptTokens() / prefillTokensPerSecond * MILLIS_PER_SECOND;
        double decodeMillis = work.outputTokens() * betweenTokensMillis / streamSlots;
        return Math.max(prefillMillis, decodeMillis);
    }

    /**
     * Returns the time in milliseconds that one request takes on the engines without any wait, infinite when they
     * cannot serve.
     */
    public double serviceMillis(Work work) {
        if (!canServe()) {
            return Double.POSITIVE_INFINITY;
        }
        double prefillMillis = work.promptTokens() / fastestPrefillTokensPerSecond * MILLIS_PER_SECOND;
        return prefillMillis + work.outputTokens() * betweenTokensMillis;
    }

    private static boolean isUsable(String model, EngineView engine) {
        boolean configured =
                engine.spec().models().isEmpty() || engine.spec().models().contains(model);
        return configured && engine.condition() == EngineCondition.READY;
    }

    /** Returns the time of one decode step of a full batch in milliseconds. */
    private static double fullBatchMillis(EngineView engine) {
        int further = Math.max(0, engine.spec().maxStreams() - 1);
        return engine.spec().decodeStepMillis() + further * engine.spec().decodeStepMillisPerStream();
    }
}
