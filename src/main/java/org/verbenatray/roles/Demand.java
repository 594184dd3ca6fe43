package org.verbenatray.roles;

import java.util.List;

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
            double patienceSeconds) {}
}
