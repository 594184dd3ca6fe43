package org.verbenatray.roles;

import java.util.ArrayList;
import java.util.List;
import org.verbenatray.configuration.EngineRole;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;
import org.verbenatray.roles.Demand.PriorityDemand;

/**
 * Estimates the share of a demand that engines in given roles serve, and the share of it that meets its deadline. Pure
 * functions.
 */
public final class CapacityModel {
    /** Utilisation up to which work is planned. The rest absorbs bursts. */
    private static final double MAX_UTILISATION = 0.97;

    /** Utilisation to which routing fills an engine with a single role before it uses engines in both roles. */
    private static final double DEDICATED_UTILISATION = 0.8;

    /** Share of prefill in the time of engines in both roles above which interactive responses are lost. */
    private static final double HARMLESS_PROMPT_SHARE = 0.25;

    /** Share of the interactive responses lost per unit of prefill share above {@link #HARMLESS_PROMPT_SHARE}. */
    private static final double INTERFERENCE_LOSS_FACTOR = 1.55;

    /** Ratio of added delay to patience up to which prefill chunks between decode steps cost no responses. */
    private static final double TOLERATED_DELAY_RATIO = 0.8;

    /** Lower bound of the patience in seconds, which avoids a division by zero. */
    private static final double MIN_PATIENCE_SECONDS = 0.01;

    /** Upper bound of the share of interactive responses lost to interference. */
    private static final double MAX_INTERFERENCE_LOSS = 0.8;

    /** Loss of goodput per unit of utilisation. Prefers the assignment with more spare capacity among equals. */
    private static final double UTILISATION_PENALTY = 0.01;

    /** Prompt tokens that an engine processes together with one decode step. */
    private static final double PREFILL_CHUNK_TOKENS = 256;

    private static final double MILLIS_PER_SECOND = 1_000;

    private static final int BISECTION_ROUNDS = 20;

    private CapacityModel() {}

    /**
     * Returns the service level of each class of the demand. Classes with higher priority are served first.
     *
     * @param engines the engines in service with their roles
     * @param demand the work that arrives
     */
    public static List<ServiceLevel> estimateServiceLevels(List<EngineAssignment> engines, Demand demand) {
        double promptTokens = 0;
        double outputTokens = 0;
        double utilisationLoss = UTILISATION_PENALTY * Math.min(2, utilisation(engines, demand));
        List<ServiceLevel> levels = new ArrayList<>();
        for (PriorityDemand work : demand.classes()) {
            double share = servedShare(engines, promptTokens, outputTokens, work);
            promptTokens += share * work.promptTokensPerSecond();
            outputTokens += share * work.outputTokensPerSecond();
            // The highest of several priorities counts as interactive; its responses suffer from prefill chunks.
            boolean interactive = levels.isEmpty() && demand.classes().size() > 1;
            double interferenceLoss = interactive ? interferenceLoss(engines, work, demand) : 0;
            levels.add(new ServiceLevel(share, Math.max(0, 1 - interferenceLoss - utilisationLoss)));
        }
        return levels;
    }

    /**
     * Returns the share of prefill in the time that an engine in both roles would spend on a demand, from 0 to 1, or
     * 0.5 if there is no demand.
     */
    public static double prefillTimeShare(EngineSpec engine, Demand demand) {
        double prompt = demand.promptTokensPerSecond() / engine.prefillTokensPerSecond();
        double output = demand.outputTokensPerSecond() / decodeTokensPerSecond(engine);
        return prompt + output == 0 ? 0.5 : prompt / (prompt + output);
    }

    /** Returns the output tokens per second of an engine that decodes a full batch and processes no prompts. */
    public static double decodeTokensPerSecond(EngineSpec engine) {
        double stepMillis = engine.decodeStepMillis() + engine.decodeStepMillisPerStream() * (engine.maxStreams() - 1);
        return engine.maxStreams() / stepMillis * MILLIS_PER_SECOND;
    }

    /**
     * Returns the share of the work, from 0 to 1, that fits beside the given token rates of work with higher priority.
     */
    private static double servedShare(
            List<EngineAssignment> engines, double promptTokens, double outputTokens, PriorityDemand work) {
        double low = 0;
        double high = 1;
        for (int round = 0; round < BISECTION_ROUNDS; round++) {
            double middle = round == 0 ? 1 : (low + high) / 2;
            double prompt = promptTokens + middle * work.promptTokensPerSecond();
            double output = outputTokens + middle * work.outputTokensPerSecond();
            if (utilisation(engines, prompt, output) <= MAX_UTILISATION) {
                low = middle;
            } else {
                high = middle;
            }
            if (low == 1) {
                return 1;
            }
        }
        return low;
    }

    private static double utilisation(List<EngineAssignment> engines, Demand demand) {
        return utilisation(engines, demand.promptTokensPerSecond(), demand.outputTokensPerSecond());
    }

    /**
     * Returns the smallest utilisation at which the work fits when no engine is used more than that. The result is at
     * its upper bound of 64 if no engine performs one of the stages, prefill or decode.
     */
    private static double utilisation(List<EngineAssignment> engines, double promptTokens, double outputTokens) {
        double low = 0;
        double high = 64;
        for (int round = 0; round < BISECTION_ROUNDS; round++) {
            double middle = (low + high) / 2;
            if (fits(engines, promptTokens, outputTokens, middle)) {
                high = middle;
            } else {
                low = middle;
            }
        }
        return high;
    }

    /** Returns whether the work fits when each engine is busy for at most the given share of its time. */
    private static boolean fits(
            List<EngineAssignment> engines, double promptTokens, double outputTokens, double utilisation) {
        double prompt = promptTokens;
        double output = outputTokens;
        int mixedEngines = 0;
        for (EngineAssignment engine : engines) {
            if (engine.role() == EngineRole.PREFILL) {
                prompt -= utilisation * engine.spec().prefillTokensPerSecond();
            } else if (engine.role() == EngineRole.DECODE) {
                output -= utilisation * decodeTokensPerSecond(engine.spec());
            } else {
                mixedEngines++;
            }
        }
        if (mixedEngines == 0) {
            return prompt <= 0 && output <= 0;
        }
        double promptPerEngine = Math.max(0, prompt) / mixedEngines;
        double outputPerEngine = Math.max(0, output) / mixedEngines;
        return engines.stream()
                .filter(engine -> engine.role() == EngineRole.BOTH)
                .allMatch(engine ->
                        mixedEngineUtilisation(engine.spec(), promptPerEngine, outputPerEngine) <= utilisation);
    }

    /**
     * Returns the share of time that an engine in both roles is busy. It runs as many decode steps as there are prompt
     * chunks or full output batches, whichever are more.
     */
    private static double mixedEngineUtilisation(EngineSpec engine, double promptTokens, double outputTokens) {
        double stepsPerSecond = Math.max(promptTokens / PREFILL_CHUNK_TOKENS, outputTokens / engine.maxStreams());
        double stepMillis = engine.decodeStepMillis() - engine.decodeStepMillisPerStream();
        double decodeMillis =
                outputTokens == 0 ? 0 : stepsPerSecond * stepMillis + outputTokens * engine.decodeStepMillisPerStream();
        return promptTokens / engine.prefillTokensPerSecond() + decodeMillis / MILLIS_PER_SECOND;
    }

    /**
     * Returns the share of interactive responses, from 0 to 1, that miss their deadline because prefill chunks delay
     * their decode steps.
     */
    private static double interferenceLoss(List<EngineAssignment> engines, PriorityDemand work, Demand demand) {
        double dedicatedDecode = 0;
        double dedicatedPrefill = 0;
        double mixedPrefill = 0;
        for (EngineAssignment engine : engines) {
            if (engine.role() == EngineRole.DECODE) {
                dedicatedDecode += DEDICATED_UTILISATION * decodeTokensPerSecond(engine.spec());
            } else if (engine.role() == EngineRole.PREFILL) {
                dedicatedPrefill += DEDICATED_UTILISATION * engine.spec().prefillTokensPerSecond();
            } else {
                mixedPrefill += engine.spec().prefillTokensPerSecond();
            }
        }
        if (mixedPrefill == 0 || work.outputTokensPerSecond() == 0) {
            return 0;
        }
        double affectedShare =
                Math.max(0, work.outputTokensPerSecond() - dedicatedDecode) / work.outputTokensPerSecond();
        double prompts = Math.max(0, demand.promptTokensPerSecond() - dedicatedPrefill);
        double loss = INTERFERENCE_LOSS_FACTOR * (prompts / mixedPrefill - HARMLESS_PROMPT_SHARE);
        return affectedShare * delaySensitivity(engines, work) * Math.max(0, Math.min(MAX_INTERFERENCE_LOSS, loss));
    }

    /**
     * Returns how sensitive responses are to a prefill chunk before each of their tokens, from 0 for not at all to 1.
     */
    private static double delaySensitivity(List<EngineAssignment> engines, PriorityDemand work) {
        double chunkSeconds = engines.stream()
                .filter(engine -> engine.role() == EngineRole.BOTH)
                .mapToDouble(engine -> PREFILL_CHUNK_TOKENS / engine.spec().prefillTokensPerSecond())
                .average()
                .orElse(0);
        double tokens = work.outputTokensPerSecond() / work.answersPerSecond();
        double delayRatio = chunkSeconds * tokens / Math.max(MIN_PATIENCE_SECONDS, work.patienceSeconds());
        return Math.max(0, Math.min(1, delayRatio - TOLERATED_DELAY_RATIO));
    }

    /**
     * The estimated service of one class of the demand.
     *
     * @param servedShare the share that the engines can serve as it arrives, from 0 to 1
     * @param onTimeShare the share of the served responses that meet their deadline, from 0 to 1
     */
    public record ServiceLevel(double servedShare, double onTimeShare) {}

    /**
     * An engine with its assigned role.
     *
     * @param spec the engine's configuration
     * @param role the role
     */
    public record EngineAssignment(EngineSpec spec, EngineRole role) {}
}
