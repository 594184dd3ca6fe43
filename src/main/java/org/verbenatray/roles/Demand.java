package org.verbenatray.roles;

import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;

/**
 * The work that arrived per second during a time window.
 *
 * @param classes the work by priority, the highest first
 */
public record Demand(List<PriorityDemand> classes) {
    /** Copies the list of classes. */
    public Demand {
        classes = List.copyOf(classes);
    }

    /** Returns a demand without any work. */
    public static Demand none() {
        return new Demand(List.of());
    }

    /** Returns the prompt tokens per second over all priorities. */
    public double promptTokensPerSecond() {
        return classes.stream()
                .mapToDouble(PriorityDemand::promptTokensPerSecond)
                .sum();
    }

    /** Returns the output tokens per second over all priorities. */
    public double outputTokensPerSecond() {
        return classes.stream()
                .mapToDouble(PriorityDemand::outputTokensPerSecond)
                .sum();
    }

    /** Returns the requests per second over all priorities. */
    public double answersPerSecond() {
        return classes.stream().mapToDouble(PriorityDemand::answersPerSecond).sum();
    }

    /**
     * Returns the mean of this demand and another one for each priority. A priority that one of them lacks counts as
     * zero there.
     */
    public Demand meanWith(Demand other) {
        TreeMap<Integer, PriorityDemand> byPriority = new TreeMap<>(Comparator.reverseOrder());
        for (PriorityDemand work : classes) {
            byPriority.merge(work.priority(), work.scaled(0.5), PriorityDemand::plus);
        }
        for (PriorityDemand work : other.classes) {
            byPriority.merge(work.priority(), work.scaled(0.5), PriorityDemand::plus);
        }
        return new Demand(List.copyOf(byPriority.values()));
    }

    /**
     * The work of one priority.
     *
     * @param priority the priority; larger values are served first
     * @param answersPerSecond the arrived requests per second, each of which asks for one response
     * @param promptTokensPerSecond their prompt tokens per second, without those expected in the prefix cache
     * @param outputTokensPerSecond the expected output tokens per second
     * @param patienceSeconds the mean time in seconds that requests could queue and still meet their deadlines
     */
    public record PriorityDemand(
            int priority,
            double answersPerSecond,
            double promptTokensPerSecond,
            double outputTokensPerSecond,
            double patienceSeconds) {
        /** Returns this work with all rates multiplied by a factor. */
        private PriorityDemand scaled(double factor) {
            return new PriorityDemand(
                    priority,
                    factor * answersPerSecond,
                    factor * promptTokensPerSecond,
                    factor * outputTokensPerSecond,
                    patienceSeconds);
        }

        /**
         * Returns the sum of this work and other work of the same priority. The patience is the mean weighted by
         * requests.
         */
        private PriorityDemand plus(PriorityDemand other) {
            double answers = answersPerSecond + other.answersPerSecond;
            double patience = patienceSeconds * answersPerSecond + other.patienceSeconds * other.answersPerSecond;
            return new PriorityDemand(
                    priority,
                    answers,
                    promptTokensPerSecond + other.promptTokensPerSecond,
                    outputTokensPerSecond + other.outputTokensPerSecond,
                    answers == 0 ? 0 : patience / answers);
        }
    }
}
