package org.verbenatray.roles;

import java.util.ArrayList;
import java.util.List;
import org.verbenatray.configuration.EngineRole;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;
import org.verbenatray.roles.Demand.PriorityDemand;

/** Estimates how engines in given roles serve a demand. */
public final class CapacityModel {
    /** The share of an engine's time that may be planned; the rest absorbs bursts. */
    private static final double PLANNED_SHARE = 0.97;

    /** The share of a specialised engine's time that routing fills before it uses engines in both roles. */
    private static final double SEPARATED_SHARE = 0.8;

    /** The share of prompts in the time of engines in both roles from which interactive answers are lost. */
    private static final double HARMLESS_PROMPTS = 0.25;

    /** The part of the interactive answers that is lost per share of prompts above that. */
    private static final double INTERFERENCE_LOSS = 1.55;

    /** The part of the patience that chunks between all tokens may use without a loss. */
    private static final double BORNE_STRETCHES = 0.8;

    /** The smallest patience in seconds that is told apart. */
    private static final double MIN_PATIENCE_SECONDS = 0.01;

    /** The largest part of the interactive answers that is lost. */
    private static final double MAX_INTERFERENCE_LOSS = 0.8;

    /** The loss of goodput per unit of utilisation, which prefers the assignment with more room. */
    private static final double UTILISATION_LOSS = 0.01;

    /** The prompt tokens that an engine processes together with one decode step. */
    private static final double CHUNK_TOKENS = 256;

    /** Milliseconds in one second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The rounds of bisection. */
    private static final int BISECTIONS = 20;

    /** Prevents instances. */
    private CapacityModel() {}

    /**
     * Returns how each class of the demand is served.
     *
     * @param engines the engines in service
     * @param demand the work that arrives
     */
    public static List<Service> serve(List<Assigned> engines, Demand demand) {
        double promptTokens = 0;
        double outputTokens = 0;
        double spared = UTILISATION_LOSS * Math.min(2, utilisation(engines, demand));
        List<Service> services = new ArrayList<>();
        for (PriorityDemand work : demand.classes()) {
            double part = servedPart(engines, promptTokens, outputTokens, work);
            promptTokens += part * work.promptTokensPerSecond();
            outputTokens += part * work.outputTokensPerSecond();
            boolean interactive = services.isEmpty() && demand.classes().size() > 1;
            double disturbed = interactive ? interferenceLoss(engines, work, demand) : 0;
            services.add(new Service(part, Math.max(0, 1 - disturbed - spared)));
        }
        return services;
    }

    /** Returns the share of prompts in the time that an engine in both roles would spend, from 0 to 1. */
    public static double promptShare(EngineSpec engine, Demand demand) {
        double prompt = demand.promptTokensPerSecond() / engine.prefillTokensPerSecond();
        double output = demand.outputTokensPerSecond() / decodeTokensPerSecond(engine);
        return prompt + output == 0 ? 0.5 : prompt / (prompt + output);
    }

    /** Returns the output tokens per second of an engine with a full batch and no prompts. */
    public static double decodeTokensPerSecond(EngineSpec engine) {
        double stepMillis = engine.decodeStepMillis() + engine.decodeStepMillisPerStream() * (engine.maxStreams() - 1);
        return engine.maxStreams() / stepMillis * MILLIS_PER_SECOND;
    }

    /** Returns which part of the work fits beside work that is served before it, from 0 to 1. */
    private static double servedPart(
            List<Assigned> engines, double promptTokens, double outputTokens, PriorityDemand work) {
        double low = 0;
        double high = 1;
        for (int round = 0; round < BISECTIONS; round++) {
            double middle = round == 0 ? 1 : (low + high) / 2;
            double prompt = promptTokens + middle * work.promptTokensPerSecond();
            double output = outputTokens + middle * work.outputTokensPerSecond();
            if (utilisation(engines, prompt, output) <= PLANNED_SHARE) {
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

    /** Returns the utilisation of the engines by a demand. */
    private static double utilisation(List<Assigned> engines, Demand demand) {
        return utilisation(engines, demand.promptTokensPerSecond(), demand.outputTokensPerSecond());
    }

    /**
     * Returns the smallest utilisation at which all engines are equally busy or the specialised ones less, large when
     * no engine takes a kind of work.
     */
    private static double utilisation(List<Assigned> engines, double promptTokens, double outputTokens) {
        double low = 0;
        double high = 64;
        for (int round = 0; round < BISECTIONS; round++) {
            double middle = (low + high) / 2;
            if (fits(engines, promptTokens, outputTokens, middle)) {
                high = middle;
            } else {
                low = middle;
            }
        }
        return high;
    }

    /** Returns whether the work fits when each engine is busy for the given share of its time. */
    private static boolean fits(List<Assigned> engines, double promptTokens, double outputTokens, double busy) {
        double prompt = promptTokens;
        double output = outputTokens;
        int both = 0;
        for (Assigned engine : engines) {
            if (engine.role() == EngineRole.PREFILL) {
                prompt -= busy * engine.spec().prefillTokensPerSecond();
            } else if (engine.role() == EngineRole.DECODE) {
                output -= busy * decodeTokensPerSecond(engine.spec());
            } else {
                both++;
            }
        }
        if (both == 0) {
            return prompt <= 0 && output <= 0;
        }
        double promptEach = Math.max(0, prompt) / both;
        double outputEach = Math.max(0, output) / both;
        return engines.stream()
                .filter(engine -> engine.role() == EngineRole.BOTH)
                .allMatch(engine -> busyInBoth(engine.spec(), promptEach, outputEach) <= busy);
    }

    /** Returns the share of time that an engine in both roles is busy; each chunk of a prompt costs a decode step. */
    private static double busyInBoth(EngineSpec engine, double promptTokens, double outputTokens) {
        double stepsPerSecond = Math.max(promptTokens / CHUNK_TOKENS, outputTokens / engine.maxStreams());
        double stepMillis = engine.decodeStepMillis() - engine.decodeStepMillisPerStream();
        double decodeMillis =
                outputTokens == 0 ? 0 : stepsPerSecond * stepMillis + outputTokens * engine.decodeStepMillisPerStream();
        return promptTokens / engine.prefillTokensPerSecond() + decodeMillis / MILLIS_PER_SECOND;
    }

    /** Returns the part of the interactive answers that is lost between chunks of prompts, from 0 to 1. */
    private static double interferenceLoss(List<Assigned> engines, PriorityDemand work, Demand demand) {
        double calm = 0;
        double prefill = 0;
        double mixed = 0;
        for (Assigned engine : engines) {
            if (engine.role() == EngineRole.DECODE) {
                calm += SEPARATED_SHARE * decodeTokensPerSecond(engine.spec());
            } else if (engine.role() == EngineRole.PREFILL) {
                prefill += SEPARATED_SHARE * engine.spec().prefillTokensPerSecond();
            } else {
                mixed += engine.spec().prefillTokensPerSecond();
            }
        }
        if (mixed == 0 || work.outputTokensPerSecond() == 0) {
            return 0;
        }
        double disturbed = Math.max(0, work.outputTokensPerSecond() - calm) / work.outputTokensPerSecond();
        double prompts = Math.max(0, demand.promptTokensPerSecond() - prefill);
        double loss = INTERFERENCE_LOSS * (prompts / mixed - HARMLESS_PROMPTS);
        return disturbed * impatience(engines, work) * Math.max(0, Math.min(MAX_INTERFERENCE_LOSS, loss));
    }

    /** Returns how little the answers bear of a chunk of a prompt between all their tokens, from 0 to 1. */
    private static double impatience(List<Assigned> engines, PriorityDemand work) {
        double chunkSeconds = engines.stream()
                .filter(engine -> engine.role() == EngineRole.BOTH)
                .mapToDouble(engine -> CHUNK_TOKENS / engine.spec().prefillTokensPerSecond())
                .average()
                .orElse(0);
        double tokens = work.outputTokensPerSecond() / work.answersPerSecond();
        double stretches = chunkSeconds * tokens / Math.max(MIN_PATIENCE_SECONDS, work.patienceSeconds());
        return Math.max(0, Math.min(1, stretches - BORNE_STRETCHES));
    }

    /**
     * How a class of the demand is served.
     *
     * @param part the part that fits as it arrives, from 0 to 1
     * @param quality the part of the served answers that is in time, from 0 to 1
     */
    public record Service(double part, double quality) {}

    /**
     * An engine in a role.
     *
     * @param spec the engine's configuration
     * @param role the role
     */
    public record Assigned(EngineSpec spec, EngineRole role) {}
}
