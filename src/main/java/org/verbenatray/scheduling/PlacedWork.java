package org.verbenatray.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.verbenatray.openwork.EngineWork;
import org.verbenatray.placement.PrefillPlan;
import org.verbenatray.placement.PromptShape;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * The prompts that one instance has placed and that their engines are not done with, and the work that other such
 * instances have placed. Used on one thread.
 */
final class PlacedWork {
    /** The time after its expected end at which a prompt is dropped, as the news of its end must be lost. */
    private static final long MAX_OVERDUE_MILLIS = 2_000;

    /** The time for which the work of another instance counts, unless it is told again. */
    private static final long TOLD_MILLIS = 1_200;

    private final Ticker ticker;

    /** The prompts by ticket. */
    private final Map<String, Placed> prompts = new HashMap<>();

    /** The sums of the prompts by boot id of their engine. */
    private final Map<String, EngineWork> sums = new HashMap<>();

    /** The work that each other instance has told, by its name. */
    private final Map<String, Told> told = new HashMap<>();

    private PlacedWork(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Creates an object without work. */
    static PlacedWork create(Ticker ticker) {
        return new PlacedWork(ticker);
    }

    /** Adds a prompt that is placed as planned. */
    void add(String ticket, PrefillPlan plan, PromptShape prompt) {
        String boot = plan.engine().orElseThrow().entry().bootId();
        Deadline expected = Deadline.afterMillis(ticker.nanos(), Math.round(plan.expectedFirstTokenMillis()));
        remove(ticket);
        prompts.put(ticket, new Placed(boot, plan, prompt, expected));
        sums.merge(boot, work(plan), EngineWork::plus);
    }

    /** Removes a prompt and returns it; empty if it is not known. */
    Optional<Placed> remove(String ticket) {
        Optional<Placed> removed = Optional.ofNullable(prompts.remove(ticket));
        removed.ifPresent(placed -> sums.computeIfPresent(placed.boot(), (boot, sum) -> {
            EngineWork left = sum.plus(work(placed.plan()).times(-1));
            return left.equals(EngineWork.NONE) ? null : left;
        }));
        return removed;
    }

    /** Removes the prompts whose end was not told in time. */
    void removeOverdue() {
        long now = ticker.nanos();
        prompts.entrySet().stream()
                .filter(each -> overdueMillis(each.getValue(), now) > MAX_OVERDUE_MILLIS)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(this::remove);
        told.values().removeIf(each -> each.expiry().hasPassed(now));
    }

    /** Replaces the work that another instance has placed, by boot id. */
    void recordTold(String instance, Map<String, EngineWork> work) {
        told.put(instance, new Told(work, Deadline.afterMillis(ticker.nanos(), TOLD_MILLIS)));
    }

    /** Returns the work at an engine that this and the other instances have placed. */
    EngineWork at(String boot) {
        long now = ticker.nanos();
        EngineWork work = sums.getOrDefault(boot, EngineWork.NONE);
        for (Told each : told.values()) {
            if (!each.expiry().hasPassed(now)) {
                work = work.plus(each.work().getOrDefault(boot, EngineWork.NONE));
            }
        }
        return work;
    }

    /** Returns the work that this instance has placed, by boot id. */
    Map<String, EngineWork> own() {
        return Map.copyOf(sums);
    }

    /** Returns for how long an engine is overdue with the prompts of this instance, in milliseconds. */
    double overdueMillis(String boot) {
        if (!sums.containsKey(boot)) {
            return 0;
        }
        long now = ticker.nanos();
        return prompts.values().stream()
                .filter(placed -> placed.boot().equals(boot))
                .mapToDouble(placed -> overdueMillis(placed, now))
                .max()
                .orElse(0);
    }

    private static double overdueMillis(Placed placed, long now) {
        return (now - placed.expected().atNanos()) / 1e6;
    }

    private static EngineWork work(PrefillPlan plan) {
        return plan.work().deferred()
                ? new EngineWork(0, plan.work().micros(), 1)
                : new EngineWork(plan.work().micros(), 0, 1);
    }

    /**
     * A prompt at an engine.
     *
     * @param boot the boot id of the engine
     * @param plan how it was placed
     * @param prompt the prompt
     * @param expected when its first token is expected
     */
    record Placed(String boot, PrefillPlan plan, PromptShape prompt, Deadline expected) {}

    /** The work that another instance has placed, by boot id, and until when it counts. */
    private record Told(Map<String, EngineWork> work, Deadline expiry) {}
}
