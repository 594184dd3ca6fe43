package org.verbenatray.roles;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.verbenatray.configuration.EngineRole;
import org.verbenatray.fleet.EngineCondition;
import org.verbenatray.fleet.EngineView;
import org.verbenatray.roles.CapacityModel.Assigned;
import org.verbenatray.roles.RolePlan.Reason;

/** Decides when an engine changes its role; a pure function of its input. */
public final class RolePlanner {
    /** The age in milliseconds from which a load report is too old to decide from. */
    public static final long STALE_MILLIS = 3_000;

    /** The part of the forecast answers that a gain has to exceed besides the price. */
    private static final double UNCERTAINTY = 0.07;

    /** Milliseconds in one second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Orders alternatives by their gain, then by the names, so that the choice is deterministic. */
    private static final Comparator<RoleAlternative> BEST_FIRST = Comparator.comparingDouble(
                    (RoleAlternative alternative) -> -alternative.gainAnswers())
            .thenComparingLong(RoleAlternative::outMillis)
            .thenComparing(RoleAlternative::engine)
            .thenComparing(RoleAlternative::to);

    /** Prevents instances. */
    private RolePlanner() {}

    /** Returns the changes to order now and why. */
    public static RolePlan plan(PlannerInput input) {
        if (!input.mayOrder()) {
            return RolePlan.none(input, Reason.NO_AUTHORITY);
        }
        List<EngineView> ready = readyOf(input);
        if (ready.stream().anyMatch(view -> view.reportAgeMillis() > STALE_MILLIS)) {
            return RolePlan.none(input, Reason.STALE_VIEW);
        }
        int underWay = changing(input);
        if (underWay >= input.spec().maxAtOnce()) {
            return RolePlan.none(input, Reason.CHANGES_UNDER_WAY);
        }
        if (input.shortDemand().answersPerSecond() == 0) {
            return RolePlan.none(input, Reason.NO_DEMAND);
        }
        return choose(input, ready);
    }

    /** Returns whether the other engines keep both kinds of work while an engine changes to a role. */
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

    /** Returns whether another ready engine's role matches. */
    private static boolean anyOther(List<EngineView> ready, EngineView changing, Predicate<EngineRole> matches) {
        return ready.stream().anyMatch(view -> !view.name().equals(changing.name()) && matches.test(view.role()));
    }

    /** Returns the engines that serve in their present role. */
    private static List<EngineView> readyOf(PlannerInput input) {
        return input.engines().stream()
                .filter(view -> view.condition() == EngineCondition.READY)
                .filter(view -> !input.targets().containsKey(view.name()))
                .sorted(Comparator.comparing(EngineView::name))
                .toList();
    }

    /** Returns the number of engines that change. */
    private static int changing(PlannerInput input) {
        return (int) input.engines().stream()
                .filter(view -> view.condition() == EngineCondition.CHANGING
                        || input.targets().containsKey(view.name()))
                .count();
    }

    /** Weighs all changes and chooses the best one if it is worth its price. */
    private static RolePlan choose(PlannerInput input, List<EngineView> ready) {
        List<Assigned> settled = settledOf(input, ready);
        double answers = answersWithoutChange(input.shortDemand(), input, ready, settled);
        List<RoleAlternative> alternatives = alternativesOf(input, ready, settled);
        boolean missing = !ready.isEmpty() && lacksRole(settled);
        double price = missing ? 0 : input.spec().changePrice() + UNCERTAINTY * answers;
        List<RoleAlternative> changes = alternatives.stream()
                .filter(alternative -> alternative.gainAnswers() > price)
                .limit(1)
                .toList();
        Reason reason = changes.isEmpty() ? Reason.NO_GAIN : missing ? Reason.ROLE_MISSING : Reason.GAIN_EXCEEDS_PRICE;
        return new RolePlan(changes, alternatives, answers, input.shortDemand(), input.expectedShiftMillis(), reason);
    }

    /** Returns the answers in time that are expected without a change. */
    private static double answersWithoutChange(
            Demand demand, PlannerInput input, List<EngineView> ready, List<Assigned> settled) {
        return AnswerForecast.of(demand, waitSeconds(ready))
                .then(settled, input.expectedShiftMillis() / MILLIS_PER_SECOND)
                .answers();
    }

    /** Returns the time in which the engines process the prompts that wait in seconds. */
    private static double waitSeconds(List<EngineView> ready) {
        double tokens = 0;
        double tokensPerSecond = 0;
        for (EngineView view : ready) {
            tokens += view.queuedPrefillTokens();
            tokensPerSecond += view.role().prefills() ? view.spec().prefillTokensPerSecond() : 0;
        }
        return tokensPerSecond == 0 ? 0 : tokens / tokensPerSecond;
    }

    /** Returns whether no engine takes one kind of work. */
    private static boolean lacksRole(List<Assigned> engines) {
        return engines.stream().noneMatch(engine -> engine.role().prefills())
                || engines.stream().noneMatch(engine -> engine.role().decodes());
    }

    /** Returns the assignment after the outstanding orders. */
    private static List<Assigned> settledOf(PlannerInput input, List<EngineView> ready) {
        List<Assigned> assigned = new ArrayList<>();
        for (EngineView view : ready) {
            assigned.add(new Assigned(view.spec(), view.role()));
        }
        for (EngineView view : input.engines()) {
            EngineRole target = input.targets().get(view.name());
            if (target != null) {
                assigned.add(new Assigned(view.spec(), target));
            }
        }
        return assigned;
    }

    /**
     * Returns the permitted changes, the best first. A change gains what it gains under both the demand of the short
     * window and its mean with that of the long window, since the short window alone follows chance.
     */
    private static List<RoleAlternative> alternativesOf(
            PlannerInput input, List<EngineView> ready, List<Assigned> settled) {
        Demand mean = input.shortDemand().meanWith(input.longDemand());
        double wait = waitSeconds(ready);
        double answers = answersWithoutChange(input.shortDemand(), input, ready, settled);
        double meanAnswers = answersWithoutChange(mean, input, ready, settled);
        List<RoleAlternative> alternatives = new ArrayList<>();
        for (EngineView engine : ready) {
            for (EngineRole to : EngineRole.values()) {
                if (to != engine.role() && keepsBothRoles(ready, engine, to)) {
                    double after = answersAfter(input.shortDemand(), input, engine, to, settled, wait);
                    double meanAfter = answersAfter(mean, input, engine, to, settled, wait);
                    double gain = Math.min(after - answers, meanAfter - meanAnswers);
                    long outMillis = (long) outMillis(input, engine);
                    alternatives.add(new RoleAlternative(engine.name(), engine.role(), to, outMillis, after, gain));
                }
            }
        }
        alternatives.sort(BEST_FIRST);
        return alternatives;
    }

    /** Returns the answers in time that are expected with a change. */
    private static double answersAfter(
            Demand demand,
            PlannerInput input,
            EngineView engine,
            EngineRole to,
            List<Assigned> settled,
            double waitSeconds) {
        List<Assigned> without = new ArrayList<>(settled);
        without.remove(new Assigned(engine.spec(), engine.role()));
        List<Assigned> changed = new ArrayList<>(without);
        changed.add(new Assigned(engine.spec(), to));
        double shiftSeconds = input.expectedShiftMillis() / MILLIS_PER_SECOND;
        double outSeconds = Math.min(shiftSeconds, outMillis(input, engine) / MILLIS_PER_SECOND);
        return AnswerForecast.of(demand, waitSeconds)
                .then(without, outSeconds)
                .then(changed, shiftSeconds - outSeconds)
                .answers();
    }

    /** Returns the time that an engine is out of service for a change in milliseconds. */
    private static double outMillis(PlannerInput input, EngineView engine) {
        return input.spec().changeMillis() + finishMillis(engine);
    }

    /** Returns the time in milliseconds in which an engine finishes the prompts that it has. */
    private static double finishMillis(EngineView engine) {
        double prompts = engine.queuedPrefillTokens() / engine.spec().prefillTokensPerSecond() * MILLIS_PER_SECOND;
        double streams = engine.runningStreams() * engine.spec().decodeStepMillisPerStream();
        return Math.min(2 * MILLIS_PER_SECOND, prompts) + streams;
    }
}
