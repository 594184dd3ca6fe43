package org.verbenatray.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.verbenatray.bench.MixSimulation.PolicyFactory;
import org.verbenatray.configuration.EngineRole;

/** Plays runs of the shifting mix; equal arguments give equal figures. */
public final class MixExperiment {
    /** How long before a shift the oracle orders changes, in seconds. */
    private static final double ORACLE_LEAD_SECONDS = 4;

    /** Prevents instances. */
    private MixExperiment() {}

    /** Returns the names of the policies that are compared. */
    public static List<String> policies() {
        return Policies.NAMES;
    }

    /** Returns the figures of one run, or empty when its policy is unknown. */
    public static Optional<MixResult> play(MixRun run) {
        boolean oracle = run.policy().equals(Policies.ORACLE);
        Optional<PolicyFactory> policy = Policies.named(run.policy());
        if (!oracle && policy.isEmpty()) {
            return Optional.empty();
        }
        MixStatistics sum = new MixStatistics();
        for (String domain : run.deployment().enginesByDomain().keySet()) {
            MixRun local = run.at(domain);
            sum.add(oracle ? oracle(local) : simulate(local, policy.orElseThrow()));
        }
        return Optional.of(MixResult.of(run, sum));
    }

    /** Returns the figures of all runs in their order. */
    public static List<MixResult> playAll(List<MixRun> runs) {
        return runs.parallelStream().flatMap(run -> play(run).stream()).toList();
    }

    /** Returns the counts of one failure domain. */
    private static MixStatistics simulate(MixRun run, PolicyFactory policy) {
        return MixSimulation.play(run, policy);
    }

    /** Returns the best counts of one failure domain over all policies and over all schedules with two assignments. */
    private static MixStatistics oracle(MixRun run) {
        List<MixStatistics> tried = new ArrayList<>();
        for (String name : Policies.NAMES) {
            Policies.named(name).ifPresent(policy -> tried.add(simulate(run, policy)));
        }
        int count = run.deployment().enginesByDomain().values().iterator().next();
        List<List<EngineRole>> assignments = RoleAssignment.all(count);
        for (List<EngineRole> promptHeavy : assignments) {
            for (List<EngineRole> outputHeavy : assignments) {
                tried.add(scheduled(run, promptHeavy, outputHeavy));
            }
        }
        return tried.stream()
                .max(Comparator.comparingInt(MixStatistics::good).thenComparingInt(statistics -> -statistics.changes()))
                .orElseThrow();
    }

    /** Returns the counts of one failure domain under a schedule, which begins in the roles that fit. */
    private static MixStatistics scheduled(MixRun run, List<EngineRole> promptHeavy, List<EngineRole> outputHeavy) {
        boolean prompts = run.shape().promptHeavy().applyAsDouble(0) > 0.5;
        RoleAssignment start = count -> prompts ? promptHeavy : outputHeavy;
        RolePolicy policy = SchedulePolicy.create(run.shape(), promptHeavy, outputHeavy, ORACLE_LEAD_SECONDS);
        return simulate(run.startingIn(start), arrivals -> policy);
    }
}
