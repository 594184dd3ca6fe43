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
 * <p>If a stream of a repeatable route fails, another engine of the same software version resumes it after the last
 * event that the caller has received. Used on one thread.
 */
final class GenerationRelay implements ForwardListener {
    /** Retry-after time for a caller that no engine can serve. */
    private static final long RETRY_AFTER_MILLIS = 400;

    /** Time added to the retry-after of an overload rejection, in which the engines work off their queues. */
    private static final long CATCH_UP_MILLIS = 2_000;

    /** Time within which an engine must confirm that it has released a prefilled prompt. */
    private static final long RELEASE_TIMEOUT_MILLIS = 1_000;

    /** Multiple of the expected time to first token after which a silent prefill engine is given up. */
    private static final double PREFILL_TIMEOUT_FACTOR = 4;

    /** Interval in which a prefilled prompt looks for an engine whose limit admits it. */
    private static final long LIMIT_RECHECK_MILLIS = 50;

    /** Largest number of prefill engines tried for one request. */
    private static final int MAX_PREFILLS = 2;

    private final RelayContext context;
    private final RelayCall call;
    private final DecodeEngines decodeEngines;

    /** The engine limits of the service at the receipt of the call; empty if they are unknown. */
    private final Optional<EngineLimits> engineLimits;

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

    /** The order of the events relayed to the caller, after those that it has received before. */
    private final EventOrder eventOrder;

    private GenerationRelay(RelayContext context, RelayCall call) {
        this.context = context;
        this.call = call;
        this.decodeEngines = DecodeEngines.forCall(context, call);
        this.eventOrder = new EventOrder(call.request().lastEventId());
        this.engineLimits = context.catalog()
                .get()
                .flatMap(catalog -> catalog.service(call.service()))
                .flatMap(BackendService::engineLimits);
    }

    /** Starts relaying a call. */
    static void start(RelayContext context, RelayCall call) {
        GenerationRelay relay = new GenerationRelay(context, call);
        call.response().onDisconnect(relay::callerDisconnected);
        relay.deadlineTimer = context.thread()
                .executeAfter(
                        call.guard().wrap(relay::handleDeadline),
                        call.times().remainingMillis() + 1,
                        TimeUnit.MILLISECONDS);
        if (call.request().continuesStream()) {
            relay.findRequiredVersion();
        } else {
            relay.plan();
        }
    }

    @Override
    public boolean acceptsEvents() {
        return true;
    }

    @Override
    public boolean accepts(StreamEvent event) {
        return eventOrder.accepts(event);
    }

    @Override
    public void onEvent(ServerResponseHead head, StreamEvent event) {
        if (!call.finished()) {
            eventOrder.record(event);
            if (!call.response().started()) {
                generationStarted();
            }
            call.relayEvent(head, event);
        }
    }

    @Override
    public boolean reserveMoveFromSilentServer() {
        return call.attempts().attemptsLeftAfterCurrent()
                && decodeEngines.otherAccepts(attempt.backend())
                && call.attempts().tryHoldRetry();
    }

    @Override
    public void onEventsRead() {
        call.response().writeBuffered();
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

    /** Finds the software version that began the stream, then plans the prefill; gives up if it cannot be known. */
    private void findRequiredVersion() {
        context.continuations()
                .findVersion(
                        call.request().continuedRequestId(),
                        call.service(),
                        version -> call.guard().run(() -> continueAt(version)));
    }

    /** Continues the stream of an earlier attempt at the given software version; gives up if it is not known. */
    private void continueAt(Optional<String> version) {
        if (call.finished()) {
            return;
        }
        if (version.isEmpty()) {
            giveUp("stream_origin_unknown");
            return;
        }
        decodeEngines.require(version.get());
        plan();
    }

    /**
     * Plans the prefill if the prompt size and the engine limits are known; otherwise goes straight to a decode engine.
     */
    private void plan() {
        if (call.times().remainingMillis() <= 0) {
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
        plan = context.planner().planPrefill(prompt, decodeEngines.withPrefillEngines(), triedPrefillEngines, false);
        boolean deferred = triedPrefillEngines.isEmpty()
                && !call.request().continuesStream()
                && !PromptAdmission.admitRegular(call, plan, context.largePrompts());
        if (deferred) {
            plan = context.planner().planPrefill(prompt, decodeEngines.withPrefillEngines(), triedPrefillEngines, true);
        }
        call.addLogField("plan_ms", Math.round(plan.expectedFirstTokenMillis()));
        call.addLogField("wait_ms", Math.round(plan.expectedWaitMillis()));
        call.addLogField("deferred", deferred);
        double excessMillis = PromptAdmission.excessDelayMillis(call, plan);
        if (deferred && excessMillis > 0) {
            deadlineTimer.remove();
            call.giveUp("overloaded", Math.round(CATCH_UP_MILLIS + excessMillis));
        } else if (plan.handover() && triedPrefillEngines.size() < MAX_PREFILLS) {
            prefill(prompt);
        } else {
            decode(plan.handover() ? Optional.empty() : plan.engine());
        }
    }

    /** Sends the prompt to the prefill engine of the plan. */
    private void prefill(PromptShape prompt) {
        Backend backend = plan.engine().orElseThrow();
        if (backend.unreachable()) {
            giveUp("no_server_in_reach");
            return;
        }
        triedPrefillEngines.add(backend);
        long remainingMillis = call.times().remainingFirstEventMillis();
        if (remainingMillis <= 0) {
            giveUp("caller_out_of_patience");
            return;
        }
        ForwardOptions options = new ForwardOptions(
                backend,
                remainingMillis,
                EnginePriority.ofPrompt(call, plan),
                true,
                plan.fetchFrom(),
                Optional.empty(),
                Optional.empty(),
                ConnectionUse.POOLED);
        long now = context.ticker().nanos();
        sentNanos = now;
        long silenceMillis = SilenceTimeout.millis(call.route(), remainingMillis);
        long firstByteMillis = (long) Math.max(silenceMillis, PREFILL_TIMEOUT_FACTOR * plan.expectedFirstTokenMillis());
        ResponseTimeouts timeouts = new ResponseTimeouts(
                Deadline.afterMillis(now, Math.min(remainingMillis, firstByteMillis)),
                silenceMillis,
                Deadline.afterMillis(now, remainingMillis));
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
            call.giveUpUnsendable();
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
        if (call.times().remainingMillis() <= 0) {
            handleDeadline();
            return;
        }
        Optional<Backend> chosen = preferred.or(decodeEngines::choose);
        if (chosen.isEmpty()) {
            handleMissingEngine();
            return;
        }
        Backend backend = chosen.get();
        if (backend.unreachable()) {
            continueLaterOrGiveUp("no_server_in_reach");
            return;
        }
        if (prefilledPrompt != null
                && prefilledPromptExpiry.hasPassed(context.ticker().nanos())) {
            prefilledPrompt = null;
        }
        boolean repeatable = call.route().repeatable();
        ForwardOptions options = new ForwardOptions(
                backend,
                call.times().remainingMillis(),
                prefilledPrompt == null ? EnginePriority.ofPrompt(call, plan) : EnginePriority.prefilled(),
                false,
                Optional.empty(),
                Optional.ofNullable(prefilledPrompt),
                eventOrder.last(),
                repeatable ? ConnectionUse.POOLED : ConnectionUse.CONFIRMED);
        sentNanos = context.ticker().nanos();
        PrefillWork work = prefilledPrompt == null && plan != null ? plan.work() : PrefillWork.NONE;
        send(options, work, call.responseTimeouts(), this);
    }

    /**
     * Goes on when there is no engine at the moment: a prefilled prompt waits for the limits of the engines, as its
     * prefill would be lost; any other request is given up, unless it can still end well.
     */
    private void handleMissingEngine() {
        if (!call.servers().limitsReached()) {
            continueLaterOrGiveUp(decodeEngines.missingOutcome());
        } else if (prefilledPrompt != null
                && call.times().remainingFirstEventMillis() > 0
                && !prefilledPromptExpiry.hasPassed(context.ticker().nanos())) {
            context.thread()
                    .executeAfter(
                            call.guard().wrap(() -> {
                                if (!call.finished()) {
                                    decode(Optional.empty());
                                }
                            }),
                            LIMIT_RECHECK_MILLIS,
                            TimeUnit.MILLISECONDS);
        } else if (!call.continueLater(() -> continueOrGiveUp(RelayCall.LIMITS_REACHED))) {
            deadlineTimer.remove();
            releasePrefilledPrompt();
            call.giveUpAtLimits();
        }
    }

    /**
     * Records that an engine generates output: the rest must come from its software version, it has fetched any
     * prefilled prompt, and it now has the prompt in its cache.
     */
    private void generationStarted() {
        Backend backend = attempt.backend();
        call.recordBegun(context.ticker().nanos());
        decodeEngines.require(backend.entry().softwareVersion());
        if (call.route().repeatable()) {
            context.continuations().recordServer(call.request().streamId(), backend);
        }
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
        decodeEngines.recordTried(ended.backend());
        if (!outcome.unsent()) {
            releasePrefilledPrompt();
        }
        continueOrGiveUp(outcome.kind().name().toLowerCase(Locale.ROOT));
    }

    /** Sends the request, or the rest of its stream, to another engine if the attempts and the retry budget allow. */
    private void continueOrGiveUp(String outcome) {
        if (call.finished()) {
            return;
        }
        if (call.tryReserveRetry()) {
            decode(Optional.empty());
            return;
        }
        continueLaterOrGiveUp(outcome);
    }

    /** Looks again shortly if the request can still end well; otherwise gives up. */
    private void continueLaterOrGiveUp(String outcome) {
        if (!call.continueLater(() -> continueOrGiveUp(outcome))) {
            giveUp(outcome);
        }
    }

    private void giveUp(String outcome) {
        deadlineTimer.remove();
        releasePrefilledPrompt();
        call.giveUpUnlessForwarded(outcome, RETRY_AFTER_MILLIS);
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
                            Deadline.afterMillis(context.ticker().nanos(), RELEASE_TIMEOUT_MILLIS),
                            1_024)
                    .thenAccept(response -> context.statements().recordStatusAnswer(released.engine(), response))
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
        public boolean reserveMoveFromSilentServer() {
            return otherEngineAccepts() && call.attempts().tryHoldRetry();
        }

        /** Returns whether an engine accepts requests to which the prompt was not sent for prefill. */
        private boolean otherEngineAccepts() {
            long now = context.ticker().nanos();
            return decodeEngines.withPrefillEngines().stream()
                    .anyMatch(engine -> !triedPrefillEngines.contains(engine) && !engine.paused(now));
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
            if (outcome.unsent() || call.attempts().tryHoldRetry()) {
                plan();
                return;
            }
            giveUp("prefill_" + outcome.kind().name().toLowerCase(Locale.ROOT));
        }
    }
}
