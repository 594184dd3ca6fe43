package org.verbenatray.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.PrefillWork;
import org.verbenatray.catalog.BackendService;
import org.verbenatray.catalog.EngineLimits;
import org.verbenatray.placement.PrefillPlan;
import org.verbenatray.placement.PromptShape;
import org.verbenatray.relay.CallerResponse.DisconnectCause;
import org.verbenatray.servers.ConnectionUse;
import org.verbenatray.time.Deadline;
import org.xnio.XnioIoThread;

/**
 * Relays a generation request to engines: prompts that benefit from it to a prefill engine first, then to a decode
 * engine.
 *
 * <p>If a stream of a repeatable route fails, another engine resumes it after the last event that the caller has
 * received. Used on one thread.
 */
final class GenerationRelay implements ForwardListener {
    /** Retry-after time for a caller that no engine can serve. */
    private static final long RETRY_AFTER_MILLIS = 400;

    /** Time added to the retry-after of an overload rejection, in which the engines work off their queues. */
    private static final long CATCH_UP_MILLIS = 2_000;

    /** Shortest silence after which a request is moved to another engine. */
    private static final long MIN_SILENCE_TIMEOUT_MILLIS = 1_000;

    /** Multiple of the expected time to first token after which a silent prefill engine is given up. */
    private static final double PREFILL_TIMEOUT_FACTOR = 4;

    /**
     * Largest expected queueing time of a deferred prompt, as a share of the first-event timeout. Well below one, since
     * later prompts overtake a deferred one.
     */
    private static final double MAX_DEFERRED_WAIT_SHARE = 0.27;

    /** Largest expected time to first token of a deferred prompt, as a share of the first-event timeout. */
    private static final double MAX_FIRST_TOKEN_SHARE = 0.9;

    /** A prompt is large if its own prefill, without queueing, takes more than this share of the latency target. */
    private static final double LARGE_PROMPT_TARGET_SHARE = 0.5;

    /** Largest number of prefill engines tried for one request. */
    private static final int MAX_PREFILLS = 2;

    private final RelayContext context;
    private final RelayCall call;

    /** The engine limits of the service at the receipt of the call; empty if they are unknown. */
    private final Optional<EngineLimits> engineLimits;

    private final List<Backend> triedEngines = new ArrayList<>();
    private final List<Backend> triedPrefillEngines = new ArrayList<>();
    private XnioIoThread.Key deadlineTimer;

    /** The running attempt, null if none. */
    private ForwardAttempt attempt;

    /** The prompt prefilled for the next decode engine, null if none. */
    private PrefilledPrompt prefilledPrompt;

    /** When the prefill engine drops the prefilled prompt. */
    private Deadline prefilledPromptExpiry;

    /** The plan for the prefill; null before planning, and where the prompt size or the engine limits are unknown. */
    private PrefillPlan plan;

    /** When the request was last sent to an engine, in nanoseconds of the ticker. */
    private long sentNanos;

    /** Id of the last event relayed to the caller, null before the first. */
    private String lastEventId;

    private GenerationRelay(RelayContext context, RelayCall call) {
        this.context = context;
        this.call = call;
        this.engineLimits = context.catalog()
                .get()
                .flatMap(catalog -> catalog.service(call.service()))
                .flatMap(BackendService::engineLimits);
    }

    /** Starts relaying a call. */
    static void start(RelayContext context, RelayCall call) {
        GenerationRelay relay = new GenerationRelay(context, call);
        call.response().onDisconnect(relay::callerDisconnected);
        relay.deadlineTimer =
                context.thread().executeAfter(relay::handleDeadline, call.remainingMillis() + 1, TimeUnit.MILLISECONDS);
        relay.plan();
    }

    @Override
    public boolean acceptsEvents() {
        return true;
    }

    @Override
    public void onEvent(ServerResponseHead head, StreamEvent event) {
        if (!call.finished()) {
            event.id().ifPresent(id -> lastEventId = id);
            if (!call.response().started()) {
                generationStarted();
            }
            call.relayEvent(head, event);
        }
    }

    @Override
    public void onOutcome(ForwardOutcome outcome) {
        ForwardAttempt ended = attempt;
        attempt = null;
        call.recordOutcome(ended, outcome, true);
        if (call.finished()) {
            return;
        }
        switch (outcome.kind()) {
            case STREAM_ENDED -> {
                deadlineTimer.remove();
                call.endStream(outcome.head().orElseThrow());
            }
            case ANSWERED -> handleResponse(ended, outcome);
            default -> retry(ended, outcome);
        }
    }

    /**
     * Plans the prefill if the prompt size and the engine limits are known; otherwise goes straight to a decode engine.
     */
    private void plan() {
        if (call.remainingMillis() <= 0) {
            handleDeadline();
            return;
        }
        Optional<PromptShape> prompt = call.request().prompt();
        if (prompt.isEmpty() || engineLimits.isEmpty()) {
            decode(Optional.empty());
            return;
        }
        placePrompt(prompt.get());
    }

    /** Plans the prefill and sends the request accordingly; rejects a deferred prompt that is expected too late. */
    private void placePrompt(PromptShape prompt) {
        double elapsedMillis = call.elapsedMillis();
        plan = context.planner().planPrefill(prompt, call.usableBackends(), triedPrefillEngines, false);
        boolean deferred = triedPrefillEngines.isEmpty() && !admitRegular(elapsedMillis);
        if (deferred) {
            plan = context.planner().planPrefill(prompt, call.usableBackends(), triedPrefillEngines, true);
        }
        call.addLogField("plan_ms", Math.round(plan.expectedFirstTokenMillis()));
        call.addLogField("wait_ms", Math.round(plan.expectedWaitMillis()));
        call.addLogField("deferred", deferred);
        double excessMillis = excessDelayMillis(elapsedMillis);
        if (deferred && excessMillis > 0) {
            deadlineTimer.remove();
            call.giveUp("overloaded", Math.round(CATCH_UP_MILLIS + excessMillis));
        } else if (plan.handover() && triedPrefillEngines.size() < MAX_PREFILLS) {
            prefill(prompt);
        } else {
            decode(plan.handover() ? Optional.empty() : plan.engine());
        }
    }

    /**
     * Returns by how many milliseconds a deferred prompt exceeds its limits; zero or less if it is expected in time.
     */
    private double excessDelayMillis(double elapsedMillis) {
        double limitMillis = call.firstEventTimeoutMillis();
        return elapsedMillis
                + Math.max(
                        plan.expectedWaitMillis() - MAX_DEFERRED_WAIT_SHARE * limitMillis,
                        plan.expectedFirstTokenMillis() - MAX_FIRST_TOKEN_SHARE * limitMillis);
    }

    /**
     * Decides whether the prompt is scheduled with regular priority instead of being deferred, and records the
     * decision. Regular are prompts expected within the target, and large ones that would otherwise get less than their
     * share.
     */
    private boolean admitRegular(double elapsedMillis) {
        double targetMillis = call.route().latencyTargetMillis();
        boolean onTime =
                call.millisSinceFirstAttempt() + elapsedMillis + plan.expectedFirstTokenMillis() <= targetMillis;
        boolean large =
                plan.expectedFirstTokenMillis() - plan.expectedWaitMillis() > LARGE_PROMPT_TARGET_SHARE * targetMillis;
        if (large) {
            return context.largePrompts().admitLarge(onTime);
        }
        context.largePrompts().recordOther(onTime);
        return onTime;
    }

    /** Sends the prompt to the prefill engine of the plan. */
    private void prefill(PromptShape prompt) {
        Backend backend = plan.engine().orElseThrow();
        if (backend.unreachable()) {
            giveUp("no_server_in_reach");
            return;
        }
        triedPrefillEngines.add(backend);
        long remainingMillis = call.remainingFirstEventMillis();
        if (remainingMillis <= 0) {
            giveUp("caller_out_of_patience");
            return;
        }
        ForwardOptions options = new ForwardOptions(
                backend,
                remainingMillis,
                enginePriority(),
                true,
                plan.fetchFrom(),
                Optional.empty(),
                Optional.empty(),
                ConnectionUse.POOLED);
        long now = context.ticker().nanos();
        sentNanos = now;
        long silenceMillis =
                (long) Math.max(MIN_SILENCE_TIMEOUT_MILLIS, PREFILL_TIMEOUT_FACTOR * plan.expectedFirstTokenMillis());
        Deadline firstByteDeadline = Deadline.afterMillis(now, Math.min(remainingMillis, silenceMillis));
        ResponseTimeouts timeouts = new ResponseTimeouts(
                firstByteDeadline, MIN_SILENCE_TIMEOUT_MILLIS, Deadline.afterMillis(now, remainingMillis));
        if (send(options, plan.work(), timeouts, new PrefillListener(backend, prompt))) {
            context.planner().recordAssigned(backend, prompt);
        }
    }

    /** Sends the request and returns true, or gives up if it must not be sent any more. */
    private boolean send(
            ForwardOptions options, PrefillWork work, ResponseTimeouts timeouts, ForwardListener listener) {
        attempt = call.send(options, work, timeouts, listener).orElse(null);
        if (attempt == null) {
            deadlineTimer.remove();
            releasePrefilledPrompt();
            call.giveUpCrashing();
        }
        return attempt != null;
    }

    /** Goes on to the decode engine after a successful prefill. */
    private void decodePrefilled(Backend backend, String handle) {
        prefilledPrompt = new PrefilledPrompt(backend, handle);
        prefilledPromptExpiry = Deadline.afterMillis(
                context.ticker().nanos(),
                engineLimits.map(EngineLimits::handleTtlMillis).orElse(0L));
        decode(Optional.empty());
    }

    /** Sends the request to the given decode engine, or to the best one if none is given. */
    private void decode(Optional<Backend> preferred) {
        if (call.remainingMillis() <= 0) {
            handleDeadline();
            return;
        }
        Optional<Backend> chosen = preferred.or(() ->
                context.planner().chooseDecodeEngine(call.request().prompt(), call.usableBackends(), triedEngines));
        if (chosen.isEmpty()) {
            giveUp("no_server");
            return;
        }
        Backend backend = chosen.get();
        if (backend.unreachable()) {
            giveUp("no_server_in_reach");
            return;
        }
        if (prefilledPrompt != null
                && prefilledPromptExpiry.hasPassed(context.ticker().nanos())) {
            prefilledPrompt = null;
        }
        boolean repeatable = call.route().repeatable();
        ForwardOptions options = new ForwardOptions(
                backend,
                call.remainingMillis(),
                prefilledPrompt == null ? enginePriority() : EnginePriority.prefilled(),
                false,
                Optional.empty(),
                Optional.ofNullable(prefilledPrompt),
                Optional.ofNullable(lastEventId).or(() -> call.request().lastEventId()),
                repeatable ? ConnectionUse.POOLED : ConnectionUse.NEW);
        sentNanos = context.ticker().nanos();
        PrefillWork work = prefilledPrompt == null && plan != null ? plan.work() : PrefillWork.NONE;
        send(options, work, timeouts(repeatable), this);
    }

    /** Returns the priority of a request that an engine has to prefill. */
    private int enginePriority() {
        int priority = call.route().priority();
        if (plan == null || !plan.work().deferred()) {
            return EnginePriority.regular(priority);
        }
        return call.millisSinceFirstAttempt() > 0 ? EnginePriority.deferredRetry() : EnginePriority.deferred(priority);
    }

    /** Returns the timeouts of a decode engine; short ones only if the request can be retried elsewhere. */
    private ResponseTimeouts timeouts(boolean repeatable) {
        if (!repeatable || !call.canRetryAfterNext()) {
            return ResponseTimeouts.deadlineOnly(call.deadline());
        }
        long silenceMillis =
                Math.max(MIN_SILENCE_TIMEOUT_MILLIS, 2 * call.route().latencyTargetMillis());
        Deadline firstByteDeadline =
                Deadline.afterMillis(context.ticker().nanos(), Math.min(silenceMillis, call.remainingMillis()));
        return new ResponseTimeouts(firstByteDeadline, silenceMillis, call.deadline());
    }

    /**
     * Records that an engine generates output: it has fetched any prefilled prompt and now has the prompt in its cache.
     */
    private void generationStarted() {
        Backend backend = attempt.backend();
        call.request().prompt().ifPresent(prompt -> {
            if (prefilledPrompt == null
                    && plan != null
                    && plan.engine().filter(backend::equals).isPresent()) {
                context.planner().recordPrefilled(plan, prompt, millisSinceSent());
            } else {
                context.planner().recordCached(backend, prompt);
            }
        });
        prefilledPrompt = null;
    }

    private double millisSinceSent() {
        return (context.ticker().nanos() - sentNanos) / 1e6;
    }

    /** Relays a response that is not a stream, or retries after a server error. */
    private void handleResponse(ForwardAttempt ended, ForwardOutcome outcome) {
        boolean retryable = outcome.status() >= 500 && call.route().repeatable();
        if (call.response().started() || retryable) {
            retry(ended, outcome);
            return;
        }
        deadlineTimer.remove();
        releasePrefilledPrompt();
        call.relayResponse(outcome);
    }

    /** Retries at another engine, or gives up. */
    private void retry(ForwardAttempt ended, ForwardOutcome outcome) {
        triedEngines.add(ended.backend());
        if (outcome.kind() != ForwardOutcome.Kind.NOT_SENT) {
            releasePrefilledPrompt();
        }
        if (call.tryReserveRetry()) {
            decode(Optional.empty());
            return;
        }
        giveUp(outcome.kind().name().toLowerCase(Locale.ROOT));
    }

    private void giveUp(String outcome) {
        deadlineTimer.remove();
        releasePrefilledPrompt();
        call.giveUp(outcome, RETRY_AFTER_MILLIS);
    }

    /** Gives up when the deadline has passed. */
    private void handleDeadline() {
        if (call.finished()) {
            return;
        }
        if (attempt != null) {
            attempt.cancel();
            if (attempt.sendingStarted() && !attempt.prefillOnly()) {
                call.recordPossibleRun();
            }
            attempt = null;
        }
        giveUp("timeout");
    }

    /** Cancels the running attempt when the caller has disconnected. */
    private void callerDisconnected(DisconnectCause cause) {
        deadlineTimer.remove();
        if (attempt != null) {
            attempt.cancel();
            attempt = null;
        }
        releasePrefilledPrompt();
        call.callerDisconnected(cause);
    }

    /** Releases a prefilled prompt that no decode engine has fetched. */
    private void releasePrefilledPrompt() {
        if (prefilledPrompt != null && (attempt == null || !attempt.sendingStarted())) {
            PrefilledPrompt released = prefilledPrompt;
            prefilledPrompt = null;
            context.transport()
                    .call(
                            context.dialect().release(released),
                            context.thread(),
                            Deadline.afterMillis(context.ticker().nanos(), MIN_SILENCE_TIMEOUT_MILLIS),
                            1_024)
                    .exceptionally(failure -> null);
        }
    }

    /** Receives the outcome of a prefill. */
    private final class PrefillListener implements ForwardListener {
        private final Backend backend;
        private final PromptShape prompt;

        PrefillListener(Backend backend, PromptShape prompt) {
            this.backend = backend;
            this.prompt = prompt;
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
        public void onOutcome(ForwardOutcome outcome) {
            ForwardAttempt ended = attempt;
            attempt = null;
            call.recordOutcome(ended, outcome, false);
            if (call.finished()) {
                return;
            }
            Optional<String> handle =
                    outcome.status() == 200 ? context.dialect().parsePrefillHandle(outcome.body()) : Optional.empty();
            if (outcome.kind() == ForwardOutcome.Kind.ANSWERED && handle.isPresent()) {
                call.addLogField("prefill_ms", Math.round(millisSinceSent()));
                call.addLogField("tokens", prompt.promptTokens() - plan.cachedTokens());
                context.planner().recordPrefilled(plan, prompt, millisSinceSent());
                decodePrefilled(backend, handle.get());
                return;
            }
            if (outcome.kind() == ForwardOutcome.Kind.NOT_SENT || call.trySpendRetry()) {
                plan();
                return;
            }
            giveUp("prefill_" + outcome.kind().name().toLowerCase(Locale.ROOT));
        }
    }
}
