package org.verbenatray.scheduling;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendDirectory;
import org.verbenatray.openwork.EngineWork;
import org.verbenatray.placement.EnginePlanner;
import org.verbenatray.placement.EngineView;
import org.verbenatray.placement.PrefillPlan;
import org.verbenatray.time.Ticker;

/**
 * Places the long prompts of a failure domain for all its instances, for a fleet in which each instance sees few
 * prompts: it knows all that it has placed, so that prompts do not queue at one engine beside an idle one, and learns
 * from all answers how fast each engine is. Used on one thread.
 */
final class DomainScheduler {
    /** The delay that an engine of another domain has to make up for, in milliseconds. */
    private static final double OTHER_DOMAIN_MILLIS = 20;

    /** The share of prompts that are processed faster than the speed of an engine tells; the others have waited. */
    private static final double SPEED_QUANTILE = 0.4;

    private final String domain;

    private final BackendDirectory directory;

    private final Ticker ticker;

    private final PlacedWork placedWork;

    private final EngineSpeeds speeds = EngineSpeeds.ofQuantile(SPEED_QUANTILE);

    private final EnginePlanner planner;

    private final PromptScheduler scheduler;

    private DomainScheduler(
            String domain, BackendDirectory directory, Function<EngineView, EnginePlanner> planners, Ticker ticker) {
        this.domain = domain;
        this.directory = directory;
        this.ticker = ticker;
        this.placedWork = PlacedWork.create(ticker);
        this.planner = planners.apply(new EngineView(
                engine -> placedWork.at(engine.entry().bootId()),
                engine -> speeds.slowness(engine.entry().bootId()),
                engine -> 1,
                this::extraMillis,
                engines -> engines));
        this.scheduler = PromptScheduler.create(planner, CustomerShares.create(ticker));
    }

    /**
     * Creates a scheduler that has placed nothing.
     *
     * @param domain the failure domain
     * @param directory the engines
     * @param planners creates a planner with a view of the engines
     * @param ticker the clock
     */
    static DomainScheduler create(
            String domain, BackendDirectory directory, Function<EngineView, EnginePlanner> planners, Ticker ticker) {
        return new DomainScheduler(domain, directory, planners, ticker);
    }

    /** Decides about a prompt; the ticket is unique among all prompts. Empty if no engine is known. */
    Optional<PromptDecision> place(String ticket, String service, PromptRequest request, Set<String> excluded) {
        placedWork.removeOverdue();
        List<Backend> engines = directory.usable(service).stream()
                .filter(engine -> !excluded.contains(engine.entry().bootId()))
                .toList();
        PromptDecision decision = scheduler.decide(request, engines, Set.of());
        PrefillPlan plan = decision.plan();
        if (plan.engine().isEmpty()) {
            return Optional.empty();
        }
        if (decision.retryAfterMillis().isEmpty()) {
            placedWork.add(ticket, plan, request.prompt());
            planner.recordAssigned(plan.engine().get(), request.prompt());
        }
        return Optional.of(decision);
    }

    /** Records what became of a prompt. */
    void recordEnd(String ticket, PromptOutcome outcome) {
        Optional<PlacedWork.Placed> placed = placedWork.remove(ticket);
        if (placed.isEmpty()) {
            return;
        }
        if (outcome.millis().isPresent()) {
            learn(placed.get(), outcome.millis().getAsDouble());
        } else if (outcome.kind() == PromptOutcome.Kind.FAILED) {
            directory.findBoot(placed.get().boot()).ifPresent(engine -> engine.recordFailure(ticker.nanos()));
        }
    }

    private void learn(PlacedWork.Placed placed, double millis) {
        PrefillPlan plan = placed.plan();
        double slowness = speeds.slowness(placed.boot());
        double expectedMillis = plan.work().micros() / 1_000.0 + plan.expectedWaitMillis() / slowness;
        if (plan.handover()) {
            double processingMillis = millis - planner.prefillTimeModel().fixedLatencyMillis();
            speeds.record(placed.boot(), expectedMillis, processingMillis);
        }
        planner.recordPrefilled(plan, placed.prompt(), millis);
    }

    /** Records the work that the scheduler of another domain has placed. */
    void recordTold(String instance, Map<String, EngineWork> work) {
        placedWork.recordTold(instance, work);
    }

    /** Returns whether prompts that this scheduler has placed are not done. */
    boolean hasWork() {
        placedWork.removeOverdue();
        return !placedWork.own().isEmpty();
    }

    /** Passes the work that this scheduler has placed, by boot id, to the receiver, in numbered parts. */
    void tellWork(int maxEngines, BiConsumer<Integer, Map<String, EngineWork>> receiver) {
        List<Map.Entry<String, EngineWork>> engines =
                List.copyOf(placedWork.own().entrySet());
        int parts = Math.max(1, (engines.size() + maxEngines - 1) / maxEngines);
        for (int part = 0; part < parts; part++) {
            int end = Math.min(engines.size(), (part + 1) * maxEngines);
            Map<String, EngineWork> work = engines.subList(part * maxEngines, end).stream()
                    .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
            receiver.accept(part, work);
        }
    }

    /** Forgets an engine that has ended. */
    void removeEngine(String boot) {
        speeds.remove(boot);
    }

    /** Returns how much slower an engine is than the others. */
    double slowness(String boot) {
        return speeds.slowness(boot);
    }

    private double extraMillis(Backend engine) {
        double overdueMillis =
                Math.max(0, placedWork.overdueMillis(engine.entry().bootId()));
        return overdueMillis + (engine.entry().domain().equals(domain) ? 0 : OTHER_DOMAIN_MILLIS);
    }
}
