package org.verbenatray.roles;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.verbenatray.configuration.EngineRole;
import org.verbenatray.fleet.EngineCondition;
import org.verbenatray.fleet.EngineView;
import org.verbenatray.roles.CapacityModel.EngineAssignment;
import org.verbenatray.roles.RolePlan.Reason;

/** Decides which engine changes its role. A pure function of its input, so that equal inputs yield equal plans. */
public final class RolePlanner {
    /** Maximum age in milliseconds of a load report that a decision may rely on. */
    public static final long MAX_REPORT_AGE_MILLIS = 3_000;

    /**
     * Share of the forecast on-time responses that a gain must exceed in addition to the price, since forecasts are
     * uncertain.
     */
    private static final double MIN_RELATIVE_GAIN = 0.07;

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Orders alternatives by descending gain, then by time out of service, engine and role, so that the choice is
     * deterministic.
     */
    private static final Comparator<RoleAlternative> BEST_FIRST = Comparator.comparingDouble(
                    (RoleAlternative alternative) -> -alternative.gainAnswers())
            .thenComparingLong(RoleAlternative::outMillis)
            .thenComparing(RoleAlternative::engine)
            .thenComparing(RoleAlternative::to);

    private RolePlanner() {}

    /** Returns the role changes to order now and the reason for them or for none. */
    public static RolePlan plan(PlannerInput input) {
        if (!input.mayIssueOrders()) {
            return RolePlan.withoutChanges(input, Reason.NO_AUTHORITY);
        }
        List<EngineView> ready = readyEngines(input);
        if (ready.stream().anyMatch(view -> view.reportAgeMillis() > MAX_REPORT_AGE_MILLIS)) {
            return RolePlan.withoutChanges(input, Reason.STALE_VIEW);
        }
        int changingEngines = countChangingEngines(input);
        if (changingEngines >= input.spec().maxAtOnce()) {
            return RolePlan.withoutChanges(input, Reason.CHANGES_UNDER_WAY);
        }
        if (input.shortDemand().answersPerSecond() == 0) {
            return RolePlan.withoutChanges(input, Reason.NO_DEMAND);
        }
        return chooseBestChange(input, ready);
    }

    /**
     * Returns whether the other engines still perform both prefill and decode while an engine changes to a role. A
     * change that restores a missing stage is permitted too.
     */
    public static boolean keepsBothRoles(List<EngineView> ready, EngineView changing, EngineRole to) {
        boolean prefills = anyOther(ready, changing, EngineRole::prefills);
        boolean decodes = anyOther(ready, changing, EngineRole::decodes);
        if (prefills && decodes) {
            return true;
        }
        boolean restoresPrefill = !prefills && !changing.role().prefills() && to.prefills();
        boolean restoresDecode = !decodes && !changing.role().decodes() && to.decodes();
        boolean complete = (prefills || to.prefills()) && (decodes || to.decodes());
        return complete && (restoresPrefill || restoresDecode);
    }

    private static boolean anyOther(List<EngineView> ready, EngineView changing, Predicate<EngineRole> matches) {
        return ready.stream().anyMatch(view -> !view.name().equals(changing.name()) && matches.test(view.role()));
    }

    /** Returns the ready engines without an outstanding role change, ordered by name. */
    private static List<EngineView> readyEngines(PlannerInput input) {
        return input.engines().stream()
                .filter(view -> view.condition() == EngineCondition.READY)
                .filter(view -> !input.targetRoles().containsKey(view.name()))
                .sorted(Comparator.comparing(EngineView::name))
                .toList();
    }

    /** Returns the number of engines that are changing their role or have an order to do so. */
    private static int countChangingEngines(PlannerInput input) {
        return (int) input.engines().stream()
                .filter(view -> view.condition() == EngineCondition.CHANGING
                        || input.targetRoles().containsKey(view.name()))
                .count();
    }

    /**
     * Compares all permitted changes and chooses the best one if its gain exceeds the price. A change that restores a
     * missing stage has no price.
     */
    private static RolePlan chooseBestChange(PlannerInput input, List<EngineView> ready) {
        List<EngineAssignment> assignments = assignmentsAfterOrders(input, ready);
        double answers = answersWithoutChange(input.shortDemand(), input, ready, assignments);
        List<RoleAlternative> alternatives = permittedChanges(input, ready, assignments);
        boolean missing = !ready.isEmpty() && lacksRole(assignments);
        double price = missing ? 0 : input.spec().changePrice() + MIN_RELATIVE_GAIN * answers;
        List<RoleAlternative> changes = alternatives.stream()
                .filter(alternative -> alternative.gainAnswers() > price)
                .limit(1)
                .toList();
        Reason reason = changes.isEmpty() ? Reason.NO_GAIN : missing ? Reason.ROLE_MISSING : Reason.GAIN_EXCEEDS_PRICE;
        return new RolePlan(changes, alternatives, answers, input.shortDemand(), input.expectedShiftMillis(), reason);
    }

    /** Returns the expected number of on-time responses without a change. */
    private static double answersWithoutChange(
            Demand demand, PlannerInput input, List<EngineView> ready, List<EngineAssignment> assignments) {
        return GoodputForecast.create(demand, queueSeconds(ready))
                .addStage(assignments, input.expectedShiftMillis() / MILLIS_PER_SECOND)
                .onTimeAnswers();
    }

    /** Returns the time in seconds that the engines need to process the queued prompts, or 0 if no engine prefills. */
    private static double queueSeconds(List<EngineView> ready) {
        double tokens = 0;
        double tokensPerSecond = 0;
        for (EngineView view : ready) {
            tokens += view.queuedPrefillTokens();
            tokensPerSecond += view.role().prefills() ? view.spec().prefillTokensPerSecond() : 0;
        }
        return tokensPerSecond == 0 ? 0 : tokens / tokensPerSecond;
    }

    /** Returns whether no engine performs prefill or no engine performs decode. */
    private static boolean lacksRole(List<EngineAssignment> engines) {
        return engines.stream().noneMatch(engine -> engine.role().prefills())
                || engines.stream().noneMatch(engine -> engine.role().decodes());
    }

    /** Returns the roles of the engines after the outstanding orders. */
    private static List<EngineAssignment> assignmentsAfterOrders(PlannerInput input, List<EngineView> ready) {
        List<EngineAssignment> assignments = new ArrayList<>();
        for (EngineView view : ready) {
            assignments.add(new EngineAssignment(view.spec(), view.role()));
        }
        for (EngineView view : input.engines()) {
            EngineRole target = input.targetRoles().get(view.name());
            if (target != null) {
                assignments.add(new EngineAssignment(view.spec(), target));
            }
        }
        return assignments;
    }

    /**
     * Returns the permitted changes, best first. The gain of a change is the smaller one of the gains under the demand
     * of the short window and under its mean with the demand of the long window, since the short window alone is
     * noisy.
     */
    private static List<RoleAlternative> permittedChanges(
            PlannerInput input, List<EngineView> ready, List<EngineAssignment> assignments) {
        Demand mean = input.shortDemand().meanWith(input.longDemand());
        double queueSeconds = queueSeconds(ready);
        double answers = answersWithoutChange(input.shortDemand(), input, ready, assignments);
        double meanAnswers = answersWithoutChange(mean, input, ready, assignments);
        List<RoleAlternative> alternatives = new ArrayList<>();
        for (EngineView engine : ready) {
            for (EngineRole to : EngineRole.values()) {
                if (to != engine.role() && keepsBothRoles(ready, engine, to)) {
                    double after = answersWithChange(input.shortDemand(), input, engine, to, assignments, queueSeconds);
                    double meanAfter = answersWithChange(mean, input, engine, to, assignments, queueSeconds);
                    double gain = Math.min(after - answers, meanAfter - meanAnswers);
                    long outMillis = (long) outMillis(input, engine);
                    alternatives.add(new RoleAlternative(engine.name(), engine.role(), to, outMillis, after, gain));
                }
            }
        }
        alternatives.sort(BEST_FIRST);
        return alternatives;
    }

    /** Returns the expected number of on-time responses with a change. */
    private static double answersWithChange(
            Demand demand,
            PlannerInput input,
            EngineView engine,
            EngineRole to,
            List<EngineAssignment> assignments,
            double queueSeconds) {
        List<EngineAssignment> without = new ArrayList<>(assignments);
        without.remove(new EngineAssignment(engine.spec(), engine.role()));
        List<EngineAssignment> changed = new ArrayList<>(without);
        changed.add(new EngineAssignment(engine.spec(), to));
        double shiftSeconds = input.expectedShiftMillis() / MILLIS_PER_SECOND;
        double outSeconds = Math.min(shiftSeconds, outMillis(input, engine) / MILLIS_PER_SECOND);
        return GoodputForecast.create(demand, queueSeconds)
                .addStage(without, outSeconds)
                .addStage(changed, shiftSeconds - outSeconds)
                .onTimeAnswers();
    }

    /** Returns the time in milliseconds that a change takes an engine out of service. */
    private static double outMillis(PlannerInput input, EngineView engine) {
        return input.spec().changeMillis() + drainMillis(engine);
    }

    /**
     * Returns the estimated time in milliseconds that an engine needs to drain, of which queued prompts count for at
     * most two seconds.
     */
    private static double drainMillis(EngineView engine) {
        double prompts = engine.queuedPrefillTokens() / engine.spec().prefillTokensPerSecond() * MILLIS_PER_SECOND;
        double streams = engine.runningStreams() * engine.spec().decodeStepMillisPerStream();
        return Math.min(2 * MILLIS_PER_SECOND, prompts) + streams;
    }
}
