package org.verbenatray.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.PromptWork;
import org.verbenatray.catalog.EngineLimits;
import org.verbenatray.catalog.ServiceSpec;
import org.verbenatray.placement.EnginePlan;
import org.verbenatray.placement.PromptShape;
import org.verbenatray.servers.ConnectionUse;
import org.verbenatray.time.Deadline;
import org.xnio.XnioIoThread;

/**
 * Passes a request for a stream to engines: a long prompt to a prefill engine first, then to a decode engine.
 *
 * <p>A stream that may be resumed goes on at another engine after the last event that the caller has.
 */
final class GenerationRelay implements ForwardListener {
    /** When a caller that no engine can serve may come back, in milliseconds. */
    private static final long COME_BACK_MILLIS = 400;

    /** The time in milliseconds in which engines must have caught up before a refused caller comes back. */
    private static final long CATCH_UP_MILLIS = 2_000;

    /** The shortest silence in milliseconds after which an engine is left for another. */
    private static final long MIN_SILENCE_MILLIS = 1_000;

    /** The multiple of the expected time after which an engine that processes a prompt is left for another. */
    private static final double PREFILL_PATIENCE = 4;

    /** The share of the caller's patience that a deferred prompt may be expected to wait: others overtake it. */
    private static final double WAITING_SHARE = 0.27;

    /** The share of the caller's patience within which its first token must be expected. */
    private static final double FIRST_TOKEN_SHARE = 0.9;

    /** The share of the target from which on the own processing of a prompt makes it a large one. */
    private static final double LARGE_SHARE = 0.5;

    /** The prefill engines that a prompt is sent to at most. */
    private static final int MAX_PREFILLS = 2;

    /** What the relay works with. */
    private final RelayParts parts;

    /** The call. */
    private final RelayCall call;

    /** The decode engines that were tried. */
    private final List<Backend> tried = new ArrayList<>();

    /** The prefill engines that were tried. */
    private final List<Backend> triedPrefills = new ArrayList<>();

    /** The timer of the deadline. */
    private XnioIoThread.Key timer;

    /** The sending that is open, null without one. */
    private Forward open;

    /** Where the processed prompt lies, null without one. */
    private PromptSource source;

    /** When the engine drops the processed prompt. */
    private Deadline sourceUntil;

    /** Where the prompt is processed, null before that was decided. */
    private EnginePlan plan;

    /** When the request was last sent to an engine, in nanoseconds of the ticker. */
    private long sentNanos;

    /** The last event that was passed on, null before the first. */
    private String lastEvent;

    /** Creates a relay. */
    private GenerationRelay(RelayParts parts, RelayCall call) {
        this.parts = parts;
        this.call = call;
    }

    /** Starts a call. */
    static void start(RelayParts parts, RelayCall call) {
        GenerationRelay relay = new GenerationRelay(parts, call);
        call.reply().whenGone(relay::callerLeft);
        relay.timer = parts.thread().executeAfter(relay::expired, call.remainingMillis() + 1, TimeUnit.MILLISECONDS);
        relay.plan();
    }

    @Override
    public boolean takesEvents() {
        return true;
    }

    @Override
    public void onEvent(ServerHead head, StreamEvent event) {
        if (!call.over()) {
            event.id().ifPresent(id -> lastEvent = id);
            if (!call.reply().begun()) {
                started();
            }
            call.event(head, event);
        }
    }

    @Override
    public void onOutcome(ForwardOutcome outcome) {
        Forward ended = open;
        open = null;
        call.tried(ended, outcome, true);
        if (call.over()) {
            return;
        }
        switch (outcome.kind()) {
            case STREAM_ENDED -> {
                timer.remove();
                call.endStream(outcome.head().orElseThrow());
            }
            case ANSWERED -> answered(ended, outcome);
            default -> again(ended, outcome);
        }
    }

    /** Decides where the prompt is processed. */
    private void plan() {
        if (call.remainingMillis() <= 0) {
            expired();
            return;
        }
        Optional<PromptShape> prompt = call.request().prompt();
        if (prompt.isEmpty() || engine().isEmpty()) {
            decode(Optional.empty());
            return;
        }
        place(prompt.get());
    }

    /** Sends the prompt where it will be processed first, or refuses it where that would be too late. */
    private void place(PromptShape prompt) {
        double waited = call.waitedMillis();
        plan = parts.planner().plan(prompt, call.usable(), triedPrefills, false);
        boolean deferred = triedPrefills.isEmpty() && !isInTurn(waited);
        if (deferred) {
            plan = parts.planner().plan(prompt, call.usable(), triedPrefills, true);
        }
        call.remark("plan_ms", Math.round(plan.firstTokenMillis()));
        call.remark("wait_ms", Math.round(plan.waitMillis()));
        call.remark("deferred", deferred);
        double excess = excessMillis(waited);
        if (deferred && excess > 0) {
            timer.remove();
            call.giveUp("overloaded", Math.round(CATCH_UP_MILLIS + excess));
        } else if (plan.handover() && triedPrefills.size() < MAX_PREFILLS) {
            prefill(prompt);
        } else {
            decode(plan.handover() ? Optional.empty() : plan.engine());
        }
    }

    /** Returns by how many milliseconds a deferred prompt would come too late; not above zero where it would not. */
    private double excessMillis(double waitedMillis) {
        double limit = call.firstEventLimitMillis();
        return waitedMillis
                + Math.max(
                        plan.waitMillis() - WAITING_SHARE * limit, plan.firstTokenMillis() - FIRST_TOKEN_SHARE * limit);
    }

    /** Returns whether the prompt is taken up in turn: it can be on time, or large prompts would fall behind. */
    private boolean isInTurn(double waitedMillis) {
        double target = call.route().targetMillis();
        boolean onTime = call.firstAskedMillisAgo() + waitedMillis + plan.firstTokenMillis() <= target;
        boolean large = plan.firstTokenMillis() - plan.waitMillis() > LARGE_SHARE * target;
        if (large) {
            return parts.sizes().takesLarge(onTime);
        }
        parts.sizes().other(onTime);
        return onTime;
    }

    /** Sends the prompt to a prefill engine. */
    private void prefill(PromptShape prompt) {
        Backend backend = plan.engine().orElseThrow();
        if (backend.unreachable()) {
            end("no_server_in_reach");
            return;
        }
        triedPrefills.add(backend);
        long left = call.firstEventDueMillis();
        if (left <= 0) {
            end("caller_out_of_patience");
            return;
        }
        Forwarding how = new Forwarding(
                backend,
                left,
                rank(),
                true,
                plan.fetchFrom(),
                Optional.empty(),
                Optional.empty(),
                ConnectionUse.POOLED);
        long now = parts.ticker().nanos();
        sentNanos = now;
        long silence = (long) Math.max(MIN_SILENCE_MILLIS, PREFILL_PATIENCE * plan.firstTokenMillis());
        Deadline first = Deadline.afterMillis(now, Math.min(left, silence));
        Patience patience = new Patience(first, MIN_SILENCE_MILLIS, Deadline.afterMillis(now, left));
        parts.planner().given(backend, prompt);
        open = Forward.send(parts, call.request(), how, plan.work(), patience, new PrefillListener(backend, prompt));
    }

    /** Takes a processed prompt. */
    private void prefilled(Backend backend, String handle) {
        source = new PromptSource(backend, handle);
        sourceUntil = Deadline.afterMillis(
                parts.ticker().nanos(), engine().map(EngineLimits::handleMillis).orElse(0L));
        decode(Optional.empty());
    }

    /** Sends the request to the given decode engine, or to the best one. */
    private void decode(Optional<Backend> preferred) {
        if (call.remainingMillis() <= 0) {
            expired();
            return;
        }
        Optional<Backend> chosen =
                preferred.or(() -> parts.planner().decoder(call.request().prompt(), call.usable(), tried));
        if (chosen.isEmpty()) {
            end("no_server");
            return;
        }
        Backend backend = chosen.get();
        if (backend.unreachable()) {
            end("no_server_in_reach");
            return;
        }
        if (source != null && sourceUntil.passed(parts.ticker().nanos())) {
            source = null;
        }
        boolean repeatable = call.route().repeatable();
        Forwarding how = new Forwarding(
                backend,
                call.remainingMillis(),
                source == null ? rank() : Rank.handedOver(),
                false,
                Optional.empty(),
                Optional.ofNullable(source),
                Optional.ofNullable(lastEvent).or(() -> call.request().resumeAfter()),
                repeatable ? ConnectionUse.POOLED : ConnectionUse.FRESH);
        sentNanos = parts.ticker().nanos();
        PromptWork work = source == null && plan != null ? plan.work() : PromptWork.NONE;
        open = Forward.send(parts, call.request(), how, work, patience(repeatable), this);
    }

    /** Returns the rank of a prompt that an engine has to process. */
    private int rank() {
        int priority = call.route().priority();
        if (plan == null || !plan.work().deferred()) {
            return Rank.inTurn(priority);
        }
        return call.firstAskedMillisAgo() > 0 ? Rank.repeated() : Rank.deferred(priority);
    }

    /** Returns how long an engine may be silent. */
    private Patience patience(boolean repeatable) {
        if (!repeatable || !call.couldTryAgain()) {
            return Patience.until(call.deadline());
        }
        long millis = Math.max(MIN_SILENCE_MILLIS, 2 * call.route().targetMillis());
        Deadline first = Deadline.afterMillis(parts.ticker().nanos(), Math.min(millis, call.remainingMillis()));
        return new Patience(first, millis, call.deadline());
    }

    /** Notes that an engine runs the request: the processed prompt was taken and stays in its memory. */
    private void started() {
        Backend backend = open.backend();
        call.request().prompt().ifPresent(prompt -> {
            if (source == null
                    && plan != null
                    && plan.engine().filter(backend::equals).isPresent()) {
                parts.planner().processed(plan, prompt, millisSinceSent());
            } else {
                parts.planner().holds(backend, prompt);
            }
        });
        source = null;
    }

    /** Returns the time since the request was last sent to an engine in milliseconds. */
    private double millisSinceSent() {
        return (parts.ticker().nanos() - sentNanos) / 1e6;
    }

    /** Passes on an answer that is no stream, or tries another engine after an error. */
    private void answered(Forward ended, ForwardOutcome outcome) {
        boolean worthAnother = outcome.status() >= 500 && call.route().repeatable();
        if (call.reply().begun() || worthAnother) {
            again(ended, outcome);
            return;
        }
        timer.remove();
        freeSource();
        call.answer(outcome);
    }

    /** Tries another engine, or gives up. */
    private void again(Forward ended, ForwardOutcome outcome) {
        tried.add(ended.backend());
        if (outcome.kind() != ForwardOutcome.Kind.NOT_SENT) {
            freeSource();
        }
        if (call.mayTryAgain()) {
            decode(Optional.empty());
            return;
        }
        end(outcome.kind().name().toLowerCase(Locale.ROOT));
    }

    /** Returns what the engines of the service have. */
    private Optional<EngineLimits> engine() {
        return parts.catalog()
                .get()
                .flatMap(catalog -> catalog.service(call.service()))
                .flatMap(ServiceSpec::engine);
    }

    /** Gives up. */
    private void end(String why) {
        timer.remove();
        freeSource();
        call.giveUp(why, COME_BACK_MILLIS);
    }

    /** Gives the final answer when the time is over. */
    private void expired() {
        if (call.over()) {
            return;
        }
        if (open != null) {
            boolean runs = open.sent() && source != null || open.sent() && triedPrefills.isEmpty();
            open.cancel();
            if (runs || call.reply().begun()) {
                call.assumeRun();
            }
            open = null;
        }
        end("timeout");
    }

    /** Ends everything when the caller has left. */
    private void callerLeft() {
        timer.remove();
        if (open != null) {
            open.cancel();
            open = null;
        }
        freeSource();
        call.abandoned();
    }

    /** Frees a processed prompt that no engine took. */
    private void freeSource() {
        if (source != null && (open == null || !open.sent())) {
            PromptSource freed = source;
            source = null;
            parts.transport()
                    .call(
                            parts.dialect().free(freed),
                            parts.thread(),
                            Deadline.afterMillis(parts.ticker().nanos(), MIN_SILENCE_MILLIS),
                            1_024)
                    .exceptionally(failure -> null);
        }
    }

    /** Hears of the processing of a prompt. */
    private final class PrefillListener implements ForwardListener {
        /** The engine. */
        private final Backend backend;

        /** The prompt. */
        private final PromptShape prompt;

        /** Creates a listener. */
        PrefillListener(Backend backend, PromptShape prompt) {
            this.backend = backend;
            this.prompt = prompt;
        }

        @Override
        public boolean takesEvents() {
            return false;
        }

        @Override
        public void onEvent(ServerHead head, StreamEvent event) {
            throw new IllegalStateException("the answer of a prefill engine has no events");
        }

        @Override
        public void onOutcome(ForwardOutcome outcome) {
            Forward ended = open;
            open = null;
            call.tried(ended, outcome, false);
            if (call.over()) {
                return;
            }
            Optional<String> handle =
                    outcome.status() == 200 ? parts.dialect().handle(outcome.body()) : Optional.empty();
            if (outcome.kind() == ForwardOutcome.Kind.ANSWERED && handle.isPresent()) {
                call.remark("prefill_ms", Math.round(millisSinceSent()));
                call.remark("tokens", prompt.promptTokens() - plan.keptTokens());
                parts.planner().processed(plan, prompt, millisSinceSent());
                prefilled(backend, handle.get());
                return;
            }
            if (outcome.kind() == ForwardOutcome.Kind.NOT_SENT || call.spendRetry()) {
                plan();
                return;
            }
            end("prefill_" + outcome.kind().name().toLowerCase(Locale.ROOT));
        }
    }
}
