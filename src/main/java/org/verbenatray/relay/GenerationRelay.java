package org.verbenatray.relay;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.PrefillWork;
import org.verbenatray.catalog.BackendService;
import org.verbenatray.catalog.EngineLimits;
import org.verbenatray.openwork.SpeedSample;
import org.verbenatray.placement.PrefillPlan;
import org.verbenatray.placement.PromptShape;
import org.verbenatray.relay.CallerResponse.DisconnectCause;
import org.verbenatray.scheduling.EnginePriority;
import org.verbenatray.servers.ConnectionUse;
import org.xnio.XnioIoThread;

/**
 * Relays a generation request to engines: prompts that benefit from it to a prefill engine first, then to a decode
 * engine.
 *
 * <p>If a stream of a repeatable route fails, another engine of the same software version resumes it after the last
 * event that the caller has received. Used on one thread.
 */
final class GenerationRelay implements ForwardListener, PrefillStep.Next {
    /** Retry-after time for a caller that no engine can serve. */
    private static final long RETRY_AFTER_MILLIS = 400;

    /** Interval in which a prefilled prompt looks for an engine whose limit admits it. */
    private static final long LIMIT_RECHECK_MILLIS = 50;

    private final RelayContext context;
    private final RelayCall call;
    private final DecodeEngines decodeEngines;

    /** The engine limits of the service at the receipt of the call; empty if they are unknown. */
    private final Optional<EngineLimits> engineLimits;

    private final PrefillStep prefillStep;
    private XnioIoThread.Key deadlineTimer;

    /** The running attempt, null if none. */
    private ForwardAttempt attempt;

    /** The prompt prefilled for the next decode engine. */
    private final HeldPrompt prefilledPrompt;

    /** When the request was last sent to an engine, in nanoseconds of the ticker. */
    private long sentNanos;

    private final RelayedStream stream;

    private GenerationRelay(RelayContext context, RelayCall call) {
        this.context = context;
        this.call = call;
        this.decodeEngines = DecodeEngines.forCall(context, call);
        this.prefillStep = PrefillStep.of(context, call, decodeEngines, this);
        this.prefilledPrompt = HeldPrompt.none(context);
        this.stream = RelayedStream.of(call, context.ticker(), this::generationStarted);
        this.engineLimits = context.catalog()
                .get()
                .flatMap(catalog -> catalog.service(call.service()))
                .flatMap(BackendService::engineLimits);
    }

    /** Starts relaying a call. */
    static void start(RelayContext context, RelayCall call) {
        GenerationRelay relay = new GenerationRelay(context, call);
        call.response().onDisconnect(relay::callerDisconnected);
        relay.deadlineTimer = call.scheduleAtDeadline(relay::handleDeadline);
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
        return stream.accepts(event);
    }

    @Override
    public int keptBytes() {
        return stream.keptBytes();
    }

    @Override
    public void onEvent(ServerResponseHead head, StreamEvent event) {
        if (!call.finished()) {
            stream.add(head, attempt.backend(), event);
        }
    }

    @Override
    public boolean reserveMoveFromSilentServer() {
        return stream.canGoOnElsewhere()
                && call.attempts().attemptsLeftAfterCurrent()
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
        stream.takeLongestGapMillis().ifPresent(millis -> recordGap(ended.backend(), millis));
        call.recordOutcome(ended, outcome, true);
        if (call.finished()) {
            return;
        }
        List<StreamEvent> keptBack = stream.takeKept();
        switch (outcome.kind()) {
            case STREAM_ENDED -> {
                deadlineTimer.remove();
                ServerResponseHead head = outcome.head().orElseThrow();
                stream.relay(head, ended.backend(), keptBack);
                call.endStream(head);
            }
            case EMPTY_REST -> handleEmptyRest(ended, new EmptyRest(ended.backend(), outcome, keptBack));
            case ANSWERED -> handleResponse(ended, outcome);
            default -> {
                logDropped(keptBack);
                retry(ended, outcome);
            }
        }
    }

    /**
     * Ends the stream if nothing can follow the last event; otherwise its server must show that nothing does. An answer
     * to a caller whose own id tells no position is passed on, as it cannot be checked.
     */
    private void handleEmptyRest(ForwardAttempt ended, EmptyRest rest) {
        releasePrefilledPrompt();
        boolean checkable = stream.lastPosition().isPresent();
        if (stream.holdsAllTokens() || !checkable && !call.response().started()) {
            endWith(rest);
        } else if (checkable && call.retries().tryReserveRepeat(rest.engine())) {
            checkEnd(rest);
        } else if (!checkable || !checkLater(ended, rest)) {
            retry(ended, rest.outcome());
        }
    }

    private boolean checkLater(ForwardAttempt ended, EmptyRest rest) {
        return call.retries().repeatLater(rest.engine(), () -> {
            if (!call.finished()) {
                handleEmptyRest(ended, rest);
            }
        });
    }

    /** Asks an engine that has sent nothing behind the last event for the stream from that event on. */
    private void checkEnd(EmptyRest rest) {
        StreamEndCheck check = StreamEndCheck.of(stream.lastPosition(), this, outcome -> handleChecked(rest, outcome));
        send(options(rest.engine(), stream.beforeLast(), ConnectionUse.CONFIRMED), PrefillWork.NONE, check);
    }

    private void handleChecked(EmptyRest rest, ForwardOutcome outcome) {
        ForwardAttempt ended = attempt;
        attempt = null;
        call.recordOutcome(ended, outcome, false);
        if (call.finished()) {
            return;
        }
        switch (outcome.kind()) {
            case STREAM_ENDED -> endWith(rest);
            case ANSWERED -> handleResponse(ended, outcome);
            default -> {
                if (outcome.mayHaveRun() || !checkLater(ended, rest)) {
                    retry(ended, outcome);
                }
            }
        }
    }

    /** Ends the response with the answer that holds nothing behind the last event. */
    private void endWith(EmptyRest rest) {
        deadlineTimer.remove();
        if (!call.response().started() && !rest.head().eventStream()) {
            call.relayResponse(rest.outcome());
            return;
        }
        stream.relay(rest.head(), rest.engine(), rest.comments());
        call.endStream(rest.head());
    }

    private void logDropped(List<StreamEvent> events) {
        if (!events.isEmpty()) {
            call.addLogField("dropped_events", events.size());
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
            generate(Optional.empty());
        } else {
            prefillStep.start(prompt.get());
        }
    }

    /** Goes on to the decode engine after a successful prefill. */
    @Override
    public void generatePrefilled(PrefilledPrompt prefilled) {
        prefilledPrompt.hold(
                prefilled, engineLimits.map(EngineLimits::handleTtlMillis).orElse(0L));
        generate(Optional.empty());
    }

    @Override
    public void refuse(long retryAfterMillis) {
        deadlineTimer.remove();
        call.giveUp("overloaded", retryAfterMillis);
    }

    @Override
    public void stop() {
        deadlineTimer.remove();
        releasePrefilledPrompt();
        call.giveUpUnsendable();
    }

    /** Sends the request to the given decode engine, or to the best one if none is given. */
    @Override
    public void generate(Optional<Backend> preferred) {
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
        boolean repeatable = call.route().repeatable();
        stream.beginAttempt();
        PrefillWork work = prefilledPrompt.current().isEmpty() ? prefillStep.work() : PrefillWork.NONE;
        ConnectionUse connectionUse = repeatable ? ConnectionUse.POOLED : ConnectionUse.CONFIRMED;
        send(options(backend, stream.last(), connectionUse), work, this);
    }

    private ForwardOptions options(Backend backend, Optional<String> lastEventId, ConnectionUse connectionUse) {
        Optional<PrefilledPrompt> prefilled = prefilledPrompt.current();
        int priority =
                prefilled.isEmpty() ? call.enginePriority(prefillStep.work().deferred()) : EnginePriority.prefilled();
        return new ForwardOptions(
                backend,
                call.times().remainingMillis(),
                priority,
                false,
                Optional.empty(),
                prefilled,
                lastEventId,
                connectionUse);
    }

    private void send(ForwardOptions options, PrefillWork work, ForwardListener listener) {
        sentNanos = context.ticker().nanos();
        attempt = call.send(options, work, call.responseTimeouts(), listener).orElse(null);
        if (attempt == null) {
            stop();
        }
    }

    /**
     * Goes on when there is no engine at the moment: a prefilled prompt waits for the limits of the engines, as its
     * prefill would be lost; any other request is given up, unless it can still end well.
     */
    private void handleMissingEngine() {
        if (!call.servers().limitsReached()) {
            continueLaterOrGiveUp(decodeEngines.missingOutcome());
        } else if (call.times().remainingFirstEventMillis() > 0
                && prefilledPrompt.current().isPresent()) {
            context.thread()
                    .executeAfter(
                            call.guard().wrap(() -> {
                                if (!call.finished()) {
                                    generate(Optional.empty());
                                }
                            }),
                            LIMIT_RECHECK_MILLIS,
                            TimeUnit.MILLISECONDS);
        } else if (!call.retries().continueLater(() -> continueOrGiveUp(RelayCall.LIMITS_REACHED))) {
            deadlineTimer.remove();
            releasePrefilledPrompt();
            call.giveUpAtLimits();
        }
    }

    /**
     * Records that an engine generates output: the rest must come from its software version, it has fetched any
     * prefilled prompt, and it now has the prompt in its cache.
     */
    private void generationStarted(Backend backend) {
        decodeEngines.require(backend.entry().softwareVersion());
        if (call.route().repeatable()) {
            context.continuations().recordServer(call.request().streamId(), backend);
        }
        boolean fetched = prefilledPrompt.recordFetched();
        call.request().prompt().ifPresent(prompt -> {
            boolean asPlanned = prefillStep
                    .plan()
                    .flatMap(PrefillPlan::engine)
                    .filter(backend::equals)
                    .isPresent();
            if (!fetched && asPlanned) {
                prefillStep.recordFirstToken((context.ticker().nanos() - sentNanos) / 1e6);
            } else {
                context.planner().recordCached(backend, prompt);
            }
        });
    }

    /** Records the longest time between two events of a run, for the choice of engines and for the log. */
    private void recordGap(Backend backend, double millis) {
        context.speedSamples().accept(new SpeedSample(backend.entry().bootId(), millis));
        call.addLogField("gap_ms", Math.round(millis));
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
        prefillStep.cancel();
        decodeEngines.recordTried(ended.backend());
        if (!outcome.unsent()) {
            releasePrefilledPrompt();
        }
        String kind = outcome.kind().name().toLowerCase(Locale.ROOT);
        if (stream.canGoOnElsewhere()) {
            continueOrGiveUp(kind);
        } else {
            giveUp(kind);
        }
    }

    /** Sends the request, or the rest of its stream, to another engine if the attempts and the retry budget allow. */
    private void continueOrGiveUp(String outcome) {
        if (call.finished()) {
            return;
        }
        if (call.retries().tryReserve()) {
            generate(Optional.empty());
            return;
        }
        continueLaterOrGiveUp(outcome);
    }

    /** Looks again shortly if the request can still end well; otherwise gives up. */
    private void continueLaterOrGiveUp(String outcome) {
        if (!call.retries().continueLater(() -> continueOrGiveUp(outcome))) {
            giveUp(outcome);
        }
    }

    @Override
    public void giveUp(String outcome) {
        deadlineTimer.remove();
        releasePrefilledPrompt();
        call.giveUpUnlessForwarded(outcome, RETRY_AFTER_MILLIS);
    }

    /** Gives up when the deadline has passed. */
    private void handleDeadline() {
        if (call.finished()) {
            return;
        }
        prefillStep.cancel();
        if (attempt != null) {
            attempt.cancel();
            if (attempt.sendingStarted()) {
                call.recordPossibleRun();
            }
            attempt = null;
        }
        giveUp("timeout");
    }

    /** Cancels the running attempt when the caller has disconnected. */
    private void callerDisconnected(DisconnectCause cause) {
        deadlineTimer.remove();
        prefillStep.cancel();
        if (attempt != null) {
            attempt.cancel();
            attempt = null;
        }
        releasePrefilledPrompt();
        call.callerDisconnected(cause);
    }

    /** Releases a prefilled prompt that no decode engine has fetched. */
    private void releasePrefilledPrompt() {
        if (attempt == null || !attempt.sendingStarted()) {
            prefilledPrompt.release();
        }
    }
}
