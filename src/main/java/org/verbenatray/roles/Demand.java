package org.verbenatray.roles;

import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;

/**
 * The work that arrived per second over a window.
 *
 * @param classes the work by priority, the highest first
 */
public record Demand(List<PriorityDemand> classes) {
    /** Copies the list. */
    public Demand {
        classes = List.copyOf(classes);
    }

    /** Returns no demand. */
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

    /** Returns the answers per second over all priorities. */
    public double answersPerSecond() {
        return classes.stream().mapToDouble(PriorityDemand::answersPerSecond).sum();
    }

    /** Returns the mean of this demand and another one, by priority. */
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
     * @param priority the priority, larger is served first
     * @param answersPerSecond the requests that arrived per second
     * @param promptTokensPerSecond their prompt tokens per second, without those that were expected in a cache
     * @param outputTokensPerSecond the tokens per second that they were expected to generate
     * @param patienceSeconds the mean time that they could wait and still meet their deadlines in seconds
     */
    public record PriorityDemand(
            int priority,
            double answersPerSecond,
            double promptTokensPerSecond,
            double outputTokensPerSecond,
            double patienceSeconds) {
        /** Returns the same kind of work at another rate. */
        private PriorityDemand scaled(double factor) {
            return new PriorityDemand(
                    priority,
                    factor * answersPerSecond,
                    factor * promptTokensPerSecond,
                    factor * outputTokensPerSecond,
                    patienceSeconds);
        }

        /** Returns the sum with other work of the same priority. */
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
