package org.verbenatray.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.PrefillWork;
import org.verbenatray.placement.PrefillPlan;
import org.verbenatray.placement.PromptShape;
import org.verbenatray.scheduling.PlacedPrompt;
import org.verbenatray.scheduling.PromptOutcome;
import org.verbenatray.scheduling.PromptRequest;
import org.verbenatray.servers.ConnectionUse;
import org.verbenatray.time.Deadline;

/**
 * The first step of a generation request: its prompt is scheduled and, where that helps, processed by a prefill engine.
 * The next step generates the output. Used on one thread.
 */
final class PrefillStep implements ForwardListener {
    /** Multiple of the expected time to first token after which a silent prefill engine is given up. */
    private static final double PREFILL_TIMEOUT_FACTOR = 4;

    /** Largest number of prefill engines tried for one request. */
    private static final int MAX_PREFILLS = 2;

    private final RelayContext context;
    private final RelayCall call;
    private final DecodeEngines decodeEngines;
    private final Next next;

    /** The prompt, null before the start. */
    private PromptShape prompt;

    private final List<Backend> tried = new ArrayList<>();

    /** The decision about the prompt, null before it was made. */
    private PlacedPrompt placed;

    /** The running attempt at a prefill engine, null if none. */
    private ForwardAttempt attempt;

    /** When the prompt was last sent to a prefill engine, in nanoseconds of the ticker. */
    private long sentNanos;

    private PrefillStep(RelayContext context, RelayCall call, DecodeEngines decodeEngines, Next next) {
        this.context = context;
        this.call = call;
        this.decodeEngines = decodeEngines;
        this.next = next;
    }

    /** Creates the first step of a call. */
    static PrefillStep of(RelayContext context, RelayCall call, DecodeEngines decodeEngines, Next next) {
        return new PrefillStep(context, call, decodeEngines, next);
    }

    /** Starts the step with the prompt of the request. */
    void start(PromptShape requested) {
        prompt = requested;
        schedule();
    }

    /** Returns where the prompt was planned to be processed; empty if it was not planned. */
    Optional<PrefillPlan> plan() {
        return Optional.ofNullable(placed).map(each -> each.decision().plan());
    }

    /** Returns the work of the prompt for an engine that generates its output, too. */
    PrefillWork work() {
        return plan().map(PrefillPlan::work).orElse(PrefillWork.NONE);
    }

    /** Records that an engine that processes the prompt itself has produced the first token. */
    void recordFirstToken(double millis) {
        context.planner().recordPrefilled(plan().orElseThrow(), prompt, millis);
        endPlacement(PromptOutcome.processed(millis));
    }

    /** Ends the step; a running attempt is cancelled. */
    void cancel() {
        if (attempt != null) {
            attempt.cancel();
            attempt = null;
        }
        endPlacement(PromptOutcome.WITHDRAWN);
    }

    private void schedule() {
        PromptRequest request = new PromptRequest(
                prompt,
                call.route().latencyTargetMillis(),
                call.times().elapsedMillis(),
                call.times().millisSinceFirstAttempt(),
                call.times().firstEventTimeoutMillis(),
                tried.isEmpty() && !call.request().continuesStream(),
                call.customer());
        endPlacement(PromptOutcome.WITHDRAWN);
        context.placement()
                .place(
                        request,
                        decodeEngines.withPrefillEngines(),
                        tried,
                        decided -> call.guard().run(() -> follow(decided)));
    }

    /** Sends the prompt as decided, or refuses it. */
    private void follow(PlacedPrompt decided) {
        placed = decided;
        if (call.finished()) {
            endPlacement(PromptOutcome.WITHDRAWN);
            return;
        }
        PrefillPlan plan = decided.decision().plan();
        call.addLogField("plan_ms", Math.round(plan.expectedFirstTokenMillis()));
        call.addLogField("wait_ms", Math.round(plan.expectedWaitMillis()));
        call.addLogField("deferred", plan.work().deferred());
        if (!decided.decidedBy().isEmpty()) {
            call.addLogField("placed_by", decided.decidedBy());
        }
        if (decided.decision().retryAfterMillis().isPresent()) {
            next.refuse(decided.decision().retryAfterMillis().getAsLong());
        } else if (plan.handover() && tried.size() < MAX_PREFILLS) {
            prefill(plan);
        } else {
            next.generate(plan.handover() ? Optional.empty() : plan.engine());
        }
    }

    /** Sends the prompt to the prefill engine of the plan. */
    private void prefill(PrefillPlan plan) {
        Backend backend = plan.engine().orElseThrow();
        if (backend.unreachable()) {
            giveUp("no_server_in_reach");
            return;
        }
        tried.add(backend);
        long remainingMillis = call.times().remainingFirstEventMillis();
        if (remainingMillis <= 0) {
            giveUp("caller_out_of_patience");
            return;
        }
        ForwardOptions options = new ForwardOptions(
                backend,
                remainingMillis,
                call.enginePriority(plan.work().deferred()),
                true,
                plan.fetchFrom(),
                Optional.empty(),
                Optional.empty(),
                ConnectionUse.POOLED);
        sentNanos = context.ticker().nanos();
        attempt = call.send(options, plan.work(), timeouts(plan, remainingMillis), this)
                .orElse(null);
        if (attempt == null) {
            endPlacement(PromptOutcome.WITHDRAWN);
            next.stop();
        } else {
            context.planner().recordAssigned(backend, prompt);
        }
    }

    private ResponseTimeouts timeouts(PrefillPlan plan, long remainingMillis) {
        long silenceMillis = SilenceTimeout.millis(call.route(), remainingMillis);
        long firstByteMillis = (long) Math.max(silenceMillis, PREFILL_TIMEOUT_FACTOR * plan.expectedFirstTokenMillis());
        return new ResponseTimeouts(
                Deadline.afterMillis(sentNanos, Math.min(remainingMillis, firstByteMillis)),
                silenceMillis,
                Deadline.afterMillis(sentNanos, remainingMillis));
    }

    @Override
    public boolean acceptsEvents() {
        return false;
    }

    @Override
    public void onEvent(ServerResponseHead head, StreamEvent event) {
        throw new IllegalStateException("the response of a prefill engine has no events");
    }

    @Override
    public boolean reserveMoveFromSilentServer() {
        return otherEngineAccepts() && call.attempts().tryHoldRetry();
    }

    /** Returns whether an engine accepts requests to which the prompt was not sent for prefill. */
    private boolean otherEngineAccepts() {
        long now = context.ticker().nanos();
        return decodeEngines.withPrefillEngines().stream()
                .anyMatch(engine -> !tried.contains(engine) && !engine.paused(now));
    }

    @Override
    public void onOutcome(ForwardOutcome outcome) {
        ForwardAttempt ended = attempt;
        attempt = null;
        call.recordOutcome(ended, outcome, false);
        if (call.finished()) {
            endPlacement(PromptOutcome.WITHDRAWN);
            return;
        }
        Optional<String> handle =
                outcome.status() == 200 ? context.dialect().parsePrefillHandle(outcome.body()) : Optional.empty();
        if (outcome.kind() == ForwardOutcome.Kind.ANSWERED && handle.isPresent()) {
            handOver(new PrefilledPrompt(ended.backend(), handle.get()));
            return;
        }
        endPlacement(PromptOutcome.FAILED);
        if (outcome.unsent() || call.attempts().tryHoldRetry()) {
            schedule();
        } else {
            giveUp("prefill_" + outcome.kind().name().toLowerCase(Locale.ROOT));
        }
    }

    private void handOver(PrefilledPrompt prefilled) {
        PrefillPlan plan = plan().orElseThrow();
        double millis = (context.ticker().nanos() - sentNanos) / 1e6;
        call.addLogField("prefill_ms", Math.round(millis));
        call.addLogField("tokens", prompt.promptTokens() - plan.cachedTokens());
        context.planner().recordPrefilled(plan, prompt, millis);
        endPlacement(PromptOutcome.processed(millis));
        next.generatePrefilled(prefilled);
    }

    private void giveUp(String outcome) {
        endPlacement(PromptOutcome.WITHDRAWN);
        next.giveUp(outcome);
    }

    /** Tells who has placed the prompt, once, what became of it. */
    private void endPlacement(PromptOutcome outcome) {
        if (placed != null) {
            PlacedPrompt ended = placed;
            placed = ended.ended();
            ended.onEnd().accept(outcome);
        }
    }

    /** The step after this one. */
    interface Next {
        /** Generates the output at the given engine, or at the best one if none is given. */
        void generate(Optional<Backend> engine);

        /** Generates the output from a prompt that a prefill engine has processed. */
        void generatePrefilled(PrefilledPrompt prefilled);

        /** Refuses the request, whose caller should come back after the given time in milliseconds. */
        void refuse(long retryAfterMillis);

        /** Gives the request up with an outcome. */
        void giveUp(String outcome);

        /** Gives the request up, as it must not be sent any more. */
        void stop();
    }
}
