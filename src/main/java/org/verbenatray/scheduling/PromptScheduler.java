package org.verbenatray.scheduling;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.verbenatray.backends.Backend;
import org.verbenatray.placement.EnginePlanner;
import org.verbenatray.placement.PrefillPlan;

/**
 * Schedules prompts, for a load in which more come for some seconds than the engines process in time: a prompt that can
 * be on time is placed where its first token is expected soonest; one that can't is deferred behind all that can, or
 * refused at once if it would come too late for its caller. Used on one thread.
 */
public final class PromptScheduler {
    /** Time added to the retry-after of a refused prompt, in which the engines work off their queues. */
    private static final long CATCH_UP_MILLIS = 2_000;

    /** The share of its target for which a prompt waits when room is short for others. */
    private static final double SHORT_ROOM_SHARE = 0.5;

    private final EnginePlanner planner;

    private final LargePromptShare largePrompts = LargePromptShare.create();

    /** The shares of customers; empty where too few prompts are seen to tell them. */
    private final Optional<CustomerShares> customerShares;

    private PromptScheduler(EnginePlanner planner, Optional<CustomerShares> customerShares) {
        this.planner = planner;
        this.customerShares = customerShares;
    }

    /** Creates a scheduler that places prompts by a planner, whoever sends them. */
    public static PromptScheduler create(EnginePlanner planner) {
        return new PromptScheduler(planner, Optional.empty());
    }

    /** Creates a scheduler that places prompts by a planner and shares the room among customers. */
    static PromptScheduler create(EnginePlanner planner, CustomerShares customerShares) {
        return new PromptScheduler(planner, Optional.of(customerShares));
    }

    /**
     * Decides about a prompt.
     *
     * @param request the prompt
     * @param engines the engines of its service
     * @param tried the engines that are excluded because they were tried before
     */
    public PromptDecision decide(PromptRequest request, List<Backend> engines, Collection<Backend> tried) {
        PrefillPlan regular = planner.planPrefill(request.prompt(), engines, tried, false);
        if (!request.deferrable() || admitRegular(request, regular)) {
            return PromptDecision.send(regular);
        }
        return defer(request, engines, tried);
    }

    /** Returns what would be decided about a prompt now by its time alone, and records nothing. */
    public PromptDecision preview(PromptRequest request, List<Backend> engines) {
        PrefillPlan regular = planner.planPrefill(request.prompt(), engines, List.of(), false);
        boolean isRegular = !request.deferrable() || PromptAdmission.isOnTime(request, regular);
        return isRegular ? PromptDecision.send(regular) : defer(request, engines, List.of());
    }

    private PromptDecision defer(PromptRequest request, List<Backend> engines, Collection<Backend> tried) {
        PrefillPlan deferred = planner.planPrefill(request.prompt(), engines, tried, true);
        double excessMillis = PromptAdmission.excessDelayMillis(request, deferred);
        return excessMillis > 0
                ? PromptDecision.refuse(deferred, Math.round(CATCH_UP_MILLIS + excessMillis))
                : PromptDecision.send(deferred);
    }

    private boolean admitRegular(PromptRequest request, PrefillPlan plan) {
        boolean admitted = PromptAdmission.admitRegular(request, plan, largePrompts);
        if (customerShares.isEmpty() || request.customer().isEmpty()) {
            return admitted;
        }
        double workMillis = plan.work().micros() / 1_000.0;
        boolean isRoomShort = plan.expectedWaitMillis() > SHORT_ROOM_SHARE * request.targetMillis();
        return customerShares.get().admit(request.customer().get(), workMillis, admitted, isRoomShort);
    }
}
