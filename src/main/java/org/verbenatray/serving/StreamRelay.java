package org.verbenatray.serving;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import org.verbenatray.servers.Cancellation;
import org.verbenatray.servers.EngineChunk;
import org.verbenatray.servers.EngineClient;
import org.verbenatray.servers.EngineClient.StreamStatus;
import org.verbenatray.servers.GenerateRequest;
import org.verbenatray.servers.ServerFailure;
import org.verbenatray.servers.StreamListener;
import org.verbenatray.suspects.Fingerprint;
import org.verbenatray.telemetry.Metrics;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;
import org.xnio.XnioIoThread;

/**
 * Relays the tokens of one request from engines to its caller: each token once and in order, then the end or a failure.
 *
 * <p>All calls come from the thread of the request.
 */
final class StreamRelay {
    /** The longest time that a begun request waits for an engine in milliseconds. */
    private static final long NO_ENGINE_WAIT_MILLIS = 5_000;

    /** The pause between two looks for an engine in milliseconds. */
    private static final long NO_ENGINE_LOOK_MILLIS = 50;

    /** The tokens of a dispatch after which a crash of its engine is likely not due to it. */
    private static final int PROGRESS_TOKENS = 8;

    /** The request. */
    private final CompletionRequest request;

    /** Chooses engines. */
    private final SuspectGuard guard;

    /** Identifies equal requests. */
    private final Fingerprint fingerprint;

    /** Talks to engines. */
    private final EngineClient engines;

    /** Receives the answer. */
    private final AnswerSink sink;

    /** The bounds. */
    private final RelaySettings settings;

    /** Runs actions later. */
    private final RelayTimers timers;

    /** The clock. */
    private final Ticker ticker;

    /** The thread of the request. */
    private final XnioIoThread thread;

    /** Returns whether another run may be paid for. */
    private final BooleanSupplier retryAllowed;

    /** Counts what happens. */
    private final Metrics metrics;

    /** The engines that must not be tried again. */
    private final Set<String> barred = new HashSet<>();

    /** The text relayed so far, which another engine continues. */
    private final StringBuilder emittedText = new StringBuilder();

    /** The tokens relayed so far. */
    private int emittedTokens;

    /** The engine of the current dispatch. */
    private EngineSlot slot;

    /** The engine that the current exchange is with. */
    private String engine = "";

    /** The base URI of that engine. */
    private String address = "";

    /** The id of the current dispatch. */
    private String dispatch = "";

    /** Ends the current exchange. */
    private Cancellation exchange = () -> {};

    /** Frees the KV cache that another engine keeps for this dispatch. */
    private Runnable prefillRelease = () -> {};

    /** Ends the timer that watches the progress. */
    private Cancellation watch = () -> {};

    /** Ends the timer of the deadline. */
    private Cancellation expiry = () -> {};

    /** Counts the connections of this relay, so that late calls of old ones are told apart. */
    private int connection;

    /** Until when a begun request waits for an engine, empty while it has one. */
    private Optional<Deadline> waitUntil = Optional.empty();

    /** The dispatches so far. */
    private int runs;

    /** The relayed tokens from which on a crash of the engine is likely not due to this request. */
    private int progressAt;

    /** Whether the guard counts the request as running or waiting. */
    private boolean guarded;

    /** Whether an engine may have begun to run the request. */
    private boolean begun;

    /** When the last token came, or the dispatch was sent. */
    private long lastProgressNanos;

    /** Whether the final answer was given. */
    private boolean over;

    /** Creates a relay from its parts. */
    StreamRelay(CompletionRequest request, RelayParts parts, AnswerSink sink, XnioIoThread thread) {
        this.request = request;
        this.guard = parts.guard();
        this.fingerprint = SuspectGuard.fingerprint(request);
        this.engines = parts.engines();
        this.settings = parts.settings();
        this.timers = parts.timers();
        this.ticker = parts.ticker();
        this.retryAllowed = parts.retryAllowed();
        this.metrics = parts.metrics();
        this.sink = sink;
        this.thread = thread;
    }

    /** Starts the first dispatch. */
    void start() {
        expiry = timers.at(thread, request.deadline(), this::expired);
        run();
    }

    /** Stops without an answer because the caller is gone. */
    void callerGone() {
        if (!over) {
            close();
            unguard(false);
            abandonDispatch();
        }
    }

    /** Returns the engine of the current dispatch. */
    Optional<String> engine() {
        return Optional.ofNullable(slot).map(EngineSlot::engine);
    }

    /** Returns the number of dispatches so far. */
    int runs() {
        return runs;
    }

    /** Dispatches the request, or what remains of it, to an engine, now or when it may be sent. */
    private void run() {
        if (over) {
            return;
        }
        guarded = true;
        GuardedChoice choice = guard.choose(request, fingerprint, emittedTokens, Set.copyOf(barred));
        if (choice instanceof GuardedChoice.Send send) {
            dispatch(send.slot());
        } else if (choice instanceof GuardedChoice.Wait wait) {
            watch.cancel();
            watch = timers.at(thread, wait.askAgain(), this::run);
        } else if (choice instanceof GuardedChoice.Refuse refuse) {
            giveUp(refuse.refusal());
        } else {
            noEngine();
        }
    }

    /** Dispatches the request, or what remains of it, to the chosen engine. */
    private void dispatch(EngineSlot chosen) {
        waitUntil = Optional.empty();
        slot = chosen;
        runs++;
        progressAt = emittedTokens + PROGRESS_TOKENS;
        dispatch = UUID.randomUUID().toString();
        GenerateRequest generate = new GenerateRequest(
                dispatch,
                request.model(),
                request.prompt(),
                request.maxTokens(),
                request.seed(),
                request.priority(),
                emittedTokens,
                emittedText.toString());
        lastProgressNanos = ticker.nanos();
        send(generate);
        watchProgress();
    }

    /** Sends a dispatch to the engine that processes the prompt. */
    private void send(GenerateRequest generate) {
        Listener listener = new Listener(++connection);
        Optional<String> prefillEngine = slot.prefillEngine();
        engine = prefillEngine.orElse(slot.engine());
        if (prefillEngine.isPresent()) {
            address = slot.prefillAddress();
            exchange = engines.prefill(address, generate, thread, listener);
        } else {
            address = slot.address();
            exchange = engines.generate(address, generate, thread, listener);
        }
    }

    /** Moves the processed prompt to the engine that generates the tokens. */
    private void moveKv(String kv) {
        String prefillAddress = address;
        slot.prefilled();
        engine = slot.engine();
        address = slot.address();
        guard.moved(fingerprint, engine);
        lastProgressNanos = ticker.nanos();
        prefillRelease = () -> engines.cancel(prefillAddress, dispatch, thread);
        exchange = engines.importKv(address, kv, thread, new Listener(++connection));
        watchProgress();
    }

    /** Frees the KV cache that the engine of the prompt keeps. */
    private void releasePrefill() {
        prefillRelease.run();
        prefillRelease = () -> {};
    }

    /** Takes a line of the engine. */
    private void onChunk(EngineChunk chunk) {
        if (!chunk.dispatch().equals(dispatch)) {
            metrics.droppedReply("dispatch");
            return;
        }
        begun = true;
        lastProgressNanos = ticker.nanos();
        if (chunk.offset() > emittedTokens) {
            metrics.droppedReply("gap");
            exchange.cancel();
            onInterrupted(ServerFailure.create(ServerFailure.Kind.WRONG_REPLY, "tokens are missing in the stream"));
            return;
        }
        relay(chunk);
        if (chunk.kv().isPresent()) {
            moveKv(chunk.kv().get());
        } else if (chunk.done() && chunk.offset() + chunk.tokens().size() == emittedTokens) {
            finish(chunk.finish());
        } else if (chunk.done()) {
            metrics.droppedReply("short");
            onInterrupted(
                    ServerFailure.create(ServerFailure.Kind.WRONG_REPLY, "the answer ends before its last token"));
        }
    }

    /** Relays the tokens of a line that were not relayed before. */
    private void relay(EngineChunk chunk) {
        int known = emittedTokens - chunk.offset();
        if (known >= chunk.tokens().size()) {
            return;
        }
        releasePrefill();
        List<String> fresh = chunk.tokens().subList(known, chunk.tokens().size());
        if (emittedTokens == 0) {
            slot.firstToken();
            metrics.firstToken(ticker.nanos() - request.receivedNanos());
        }
        boolean progressedBefore = emittedTokens >= progressAt;
        emittedTokens += fresh.size();
        if (!progressedBefore && emittedTokens >= progressAt) {
            guard.progressed(fingerprint);
        }
        fresh.forEach(emittedText::append);
        sink.tokens(fresh);
    }

    /** Gives the end of the whole answer. */
    private void finish(String finish) {
        close();
        unguard(true);
        slot.ended();
        sink.end(finish, emittedTokens);
    }

    /** Handles a connection that ended or broke before the last token. */
    private void onInterrupted(ServerFailure failure) {
        switch (failure.kind()) {
            case LEAVING, FULL, NOT_CONNECTED, REFUSED -> runElsewhere(failure);
            default -> probe(failure);
        }
    }

    /** Asks the engine over a new connection whether it still runs the dispatch. */
    private void probe(ServerFailure failure) {
        begun = true;
        int asked = ++connection;
        Deadline deadline = Deadline.afterMillis(ticker.nanos(), settings.probeMillis());
        engines.status(address, dispatch, thread, deadline)
                .whenComplete((status, problem) -> thread.execute(() -> {
                    if (over || connection != asked) {
                        return;
                    }
                    if (problem == null && status.known()) {
                        resume();
                    } else {
                        noteCrash(status, problem);
                        runElsewhere(failure);
                    }
                }));
    }

    /** Continues the stream of the engine over a new connection. */
    private void resume() {
        metrics.recovered("resumed");
        lastProgressNanos = ticker.nanos();
        exchange.cancel();
        exchange = engines.resume(address, dispatch, emittedTokens, thread, new Listener(++connection));
        watchProgress();
    }

    /** Tells the guard where the engine was started anew or takes no connections after it took this dispatch. */
    private void noteCrash(StreamStatus status, Throwable problem) {
        long dispatched = slot.incarnation(engine);
        boolean restarted = status != null && status.incarnation().orElse(dispatched) != dispatched;
        if (restarted || closesConnections(problem)) {
            guard.crashed(engine, dispatched);
        }
    }

    /** Returns whether a failure shows that nothing serves at the engine's address. */
    private static boolean closesConnections(Throwable problem) {
        Throwable cause = problem instanceof CompletionException ? problem.getCause() : problem;
        return cause instanceof ServerFailure failure
                && (failure.kind() == ServerFailure.Kind.NOT_CONNECTED || failure.kind() == ServerFailure.Kind.BROKEN);
    }

    /** Tells the guard that the request no longer runs. */
    private void unguard(boolean whole) {
        if (guarded) {
            guarded = false;
            guard.finished(fingerprint, whole);
        }
    }

    /** Gives the engine up and runs what remains on another one. */
    private void runElsewhere(ServerFailure failure) {
        unguard(false);
        barred.add(engine);
        exchange.cancel();
        releasePrefill();
        slot.failed(engine, failure);
        boolean neverRan = failure.kind() == ServerFailure.Kind.LEAVING || failure.kind() == ServerFailure.Kind.FULL;
        if (runs >= settings.maxRuns() || !(neverRan || retryAllowed.getAsBoolean())) {
            giveUp(RelayRefusals.serversFailed(failure, begun));
            return;
        }
        metrics.recovered("run_again");
        run();
    }

    /** Watches the progress of the current connection. */
    private void watchProgress() {
        watch.cancel();
        Deadline next = Deadline.afterMillis(lastProgressNanos, settings.silenceMillis());
        watch = timers.at(thread, next, this::checkProgress);
    }

    /** Asks the engine when no token came for long. */
    private void checkProgress() {
        if (over) {
            return;
        }
        if (!Deadline.afterMillis(lastProgressNanos, settings.silenceMillis()).passed(ticker.nanos())) {
            watchProgress();
            return;
        }
        int asked = connection;
        Deadline deadline = Deadline.afterMillis(ticker.nanos(), settings.probeMillis());
        engines.status(address, dispatch, thread, deadline)
                .whenComplete((status, problem) -> thread.execute(() -> {
                    if (over || connection != asked) {
                        return;
                    }
                    if (problem != null || !status.known()) {
                        noteCrash(status, problem);
                        runElsewhere(ServerFailure.create(ServerFailure.Kind.SILENT, "the engine is silent"));
                    } else if (status.generated() > emittedTokens) {
                        resume();
                    } else {
                        lastProgressNanos = ticker.nanos();
                        watchProgress();
                    }
                }));
    }

    /** Waits a while for an engine when the request was begun, else gives the final answer. */
    private void noEngine() {
        if (begun && !waitedTooLong()) {
            barred.clear();
            watch.cancel();
            watch = timers.at(thread, Deadline.afterMillis(ticker.nanos(), NO_ENGINE_LOOK_MILLIS), this::run);
            return;
        }
        giveUp(RelayRefusals.noEngine(request.model(), begun));
    }

    /** Returns whether the request has waited for an engine for as long as it may; the first call begins the wait. */
    private boolean waitedTooLong() {
        long now = ticker.nanos();
        if (waitUntil.isEmpty()) {
            waitUntil = Optional.of(Deadline.afterMillis(now, NO_ENGINE_WAIT_MILLIS));
        }
        return waitUntil.get().passed(now);
    }

    /** Gives the final answer at the deadline. */
    private void expired() {
        if (over) {
            return;
        }
        abandonDispatch();
        giveUp(RelayRefusals.expired(emittedTokens));
    }

    /** Gives a final answer in place of a whole one. */
    private void giveUp(Refusal refusal) {
        close();
        unguard(false);
        sink.fail(refusal);
    }

    /** Stops the engine's work on the current dispatch. */
    private void abandonDispatch() {
        exchange.cancel();
        if (slot != null) {
            engines.cancel(address, dispatch, thread);
            releasePrefill();
            slot.ended();
        }
    }

    /** Stops all timers and ignores what comes later. */
    private void close() {
        over = true;
        connection++;
        watch.cancel();
        expiry.cancel();
    }

    /** Receives the lines of one connection and ignores them once another took its place. */
    private final class Listener implements StreamListener {
        /** The number of the connection. */
        private final int number;

        /** Creates a listener. */
        Listener(int number) {
            this.number = number;
        }

        @Override
        public void onChunk(EngineChunk chunk) {
            if (current()) {
                StreamRelay.this.onChunk(chunk);
            }
        }

        @Override
        public void onEnd() {
            if (current()) {
                onInterrupted(ServerFailure.create(ServerFailure.Kind.BROKEN, "the reply ended before its last token"));
            }
        }

        @Override
        public void onFailure(ServerFailure failure) {
            if (current()) {
                onInterrupted(failure);
            }
        }

        /** Returns whether this is still the relay's connection. */
        private boolean current() {
            return !over && number == connection;
        }
    }
}
