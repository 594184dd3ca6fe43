package org.verbenatray.serving;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.verbenatray.configuration.EngineRole;
import org.verbenatray.fleet.EngineCondition;
import org.verbenatray.fleet.EngineView;
import org.verbenatray.fleet.FleetView;
import org.verbenatray.suspects.Fingerprint;
import org.verbenatray.suspects.QuarantineDecision;
import org.verbenatray.suspects.SuspectDigest;
import org.verbenatray.suspects.SuspectEntry;
import org.verbenatray.suspects.SuspectTable;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Timing;

/**
 * Chooses engines so that a request which crashes the engines it runs on takes down only a limited number of them.
 * Requests that were in flight on a crashed engine are suspects: each of them next runs isolated, on an engine that is
 * reserved for it and runs nothing else, and is blocked after further crashes. Thread-safe.
 */
public final class SuspectGuard {
    private static final Logger log = System.getLogger(SuspectGuard.class.getName());

    /** The interval between attempts while the required engine is reserved or still has other work, in milliseconds. */
    private static final long RETRY_MILLIS = 100;

    /** How long an engine that crashed and has not restarted yet is not used for isolated runs, in milliseconds. */
    private static final long DOWN_MILLIS = 30_000;

    /** How long after its last report an engine is expected to become available again, in milliseconds. */
    private static final long DUE_BACK_MILLIS = 30_000;

    private final SuspectTable table;
    private final EngineChooser chooser;
    private final FleetView fleet;
    private final Timing timing;

    /** Adds the instance, its failure domain and the configuration offset to a log event. */
    private final UnaryOperator<Event> context;

    /** The engines reserved for suspects of this instance that are not sent yet, by fingerprint. */
    private final Map<Fingerprint, String> reservedEngines = new HashMap<>();

    /** Receives the changes that are published to the peers. */
    private Consumer<SuspectDigest> changeListener = digest -> {};

    private SuspectGuard(
            SuspectTable table, EngineChooser chooser, FleetView fleet, Timing timing, UnaryOperator<Event> context) {
        this.table = table;
        this.chooser = chooser;
        this.fleet = fleet;
        this.timing = timing;
        this.context = context;
    }

    /**
     * Returns a guard; the context adds the instance, its failure domain and the configuration offset to a log event.
     */
    public static SuspectGuard create(
            SuspectTable table, EngineChooser chooser, FleetView fleet, Timing timing, UnaryOperator<Event> context) {
        return new SuspectGuard(table, chooser, fleet, timing, context);
    }

    /** Returns the fingerprint that identifies equal requests: same customer, model, prompt and maximum of tokens. */
    static Fingerprint fingerprint(CompletionRequest request) {
        byte[] body = (request.maxTokens() + "\n" + request.prompt()).getBytes(StandardCharsets.UTF_8);
        return Fingerprint.of(request.customer(), request.model(), body);
    }

    /** Sets the receiver of changes to publish to the peers. It is called with the lock held and must not call back. */
    public synchronized void setChangeListener(Consumer<SuspectDigest> changeListener) {
        this.changeListener = changeListener;
    }

    /**
     * Decides the next step of a request. A decision to send it has already counted the dispatch and recorded its
     * start.
     *
     * @param emittedTokens the number of tokens of the response that were relayed before
     * @param excluded the engines that failed for this request
     */
    synchronized DispatchDecision decide(
            CompletionRequest request, Fingerprint fingerprint, int emittedTokens, Set<String> excluded) {
        long now = timing.clock().millis();
        String reservedEngine = reservedEngines.get(fingerprint);
        if (reservedEngine != null) {
            return sendIsolated(request, fingerprint, emittedTokens, reservedEngine);
        }
        List<String> engines = isolationCandidates(request.model(), excluded);
        QuarantineDecision decision = table.decide(fingerprint, engines, now);
        if (decision instanceof QuarantineDecision.Reject reject) {
            return new DispatchDecision.Reject(blockedRefusal(reject.retryAtMillis() - now));
        }
        if (decision instanceof QuarantineDecision.Wait && engines.isEmpty()) {
            return new DispatchDecision.NoEngine();
        }
        if (decision instanceof QuarantineDecision.Wait wait) {
            return new DispatchDecision.Wait(timing.deadlineAfterMillis(Math.max(1, wait.retryAtMillis() - now)));
        }
        if (decision instanceof QuarantineDecision.RunIsolated run) {
            table.reserve(fingerprint, run.server(), now);
            reservedEngines.put(fingerprint, run.server());
            publishChange(fingerprint);
            return sendIsolated(request, fingerprint, emittedTokens, run.server());
        }
        Optional<String> required = ((QuarantineDecision.RunNormally) decision).requiredServer();
        return sendNormally(request, fingerprint, emittedTokens, excluded, required);
    }

    /** Records that a request moved from its prefill engine to its decode engine. */
    synchronized void recordMove(Fingerprint fingerprint, String engine) {
        table.recordEnd(fingerprint, false, timing.clock().millis());
        table.recordStart(fingerprint, engine);
    }

    /** Records that the engine generated so many tokens for a request that a later crash probably has another cause. */
    synchronized void recordProgress(Fingerprint fingerprint) {
        table.recordProgress(fingerprint);
    }

    /**
     * Records that a request ended, or released its reserved engine before it was sent.
     *
     * @param completed whether the engine sent a complete response, which clears the crashes of an isolated request
     */
    synchronized void recordEnd(Fingerprint fingerprint, boolean completed) {
        reservedEngines.remove(fingerprint);
        table.recordEnd(fingerprint, completed, timing.clock().millis());
        publishChange(fingerprint);
    }

    /** Records that an engine crashed, which makes its in-flight requests suspects. */
    synchronized void recordCrash(String engine, long incarnation) {
        Set<Fingerprint> suspects = table.recordCrash(
                engine, engine + "@" + incarnation, timing.clock().millis());
        suspects.forEach(reservedEngines::remove);
        suspects.forEach(this::publishChange);
        if (!suspects.isEmpty()) {
            context.apply(Event.named("engine_crashed_with_requests"))
                    .with("engine", engine)
                    .with("incarnation", incarnation)
                    .with("suspects", suspects.size())
                    .log(log, Level.WARNING);
        }
    }

    /** Merges the digest of a peer. */
    public synchronized void merge(SuspectDigest digest) {
        table.merge(digest, timing.clock().millis());
    }

    /** Removes the isolated runs of an unreachable peer, which releases its reserved engines. */
    public synchronized void removePeerRuns(String peer) {
        table.removePeerRuns(peer);
    }

    /** Returns all entries of the suspect table, for the state dump. */
    public synchronized List<SuspectEntry> entries() {
        return table.entries();
    }

    /** Publishes the isolated runs and the entry of one request, if it is a suspect. */
    private void publishChange(Fingerprint fingerprint) {
        SuspectDigest digest = table.digest();
        List<SuspectEntry> matching = digest.entries().stream()
                .filter(entry -> entry.fingerprint().equals(fingerprint))
                .toList();
        if (!matching.isEmpty()) {
            changeListener.accept(
                    new SuspectDigest(digest.instance(), digest.sequence(), digest.isolatedRuns(), matching));
        }
    }

    /** Sends a request that need not run isolated, to an engine that is not reserved. */
    private DispatchDecision sendNormally(
            CompletionRequest request,
            Fingerprint fingerprint,
            int emittedTokens,
            Set<String> excluded,
            Optional<String> required) {
        Set<String> reserved = table.reservedServers(timing.clock().millis());
        Set<String> unavailable = new HashSet<>(excluded);
        unavailable.addAll(reserved);
        if (required.isPresent() && unavailable.contains(required.get())) {
            return new DispatchDecision.Wait(timing.deadlineAfterMillis(RETRY_MILLIS));
        }
        Optional<EngineDispatch> dispatch = chooser.choose(request, emittedTokens, unavailable, required);
        if (dispatch.isEmpty()) {
            return required.isPresent() || !reserved.isEmpty()
                    ? new DispatchDecision.Wait(timing.deadlineAfterMillis(RETRY_MILLIS))
                    : new DispatchDecision.NoEngine();
        }
        EngineDispatch chosen = dispatch.get();
        table.recordStart(fingerprint, chosen.prefillEngine().orElse(chosen.engine()));
        return new DispatchDecision.Send(chosen);
    }

    /** Sends a suspect to its reserved engine once that engine has no other work left. */
    private DispatchDecision sendIsolated(
            CompletionRequest request, Fingerprint fingerprint, int emittedTokens, String engine) {
        Optional<EngineView> view = fleet.view(engine, timing.ticker().nanos());
        boolean usable = view.isPresent() && view.get().condition() == EngineCondition.READY && !isDown(engine);
        if (!usable) {
            recordEnd(fingerprint, false);
            return new DispatchDecision.NoEngine();
        }
        if (view.get().runningStreams() > 0 || view.get().queuedPrefillTokens() > 0) {
            return new DispatchDecision.Wait(timing.deadlineAfterMillis(RETRY_MILLIS));
        }
        Optional<EngineDispatch> dispatch = chooser.choose(request, emittedTokens, Set.of(), Optional.of(engine));
        if (dispatch.isEmpty()) {
            recordEnd(fingerprint, false);
            return new DispatchDecision.NoEngine();
        }
        logIsolatedRun(request, fingerprint, engine);
        reservedEngines.remove(fingerprint);
        table.recordStart(fingerprint, engine);
        return new DispatchDecision.Send(dispatch.get());
    }

    /**
     * Returns the engines that can run all of a request on their own. Engines whose load is known in detail are
     * preferred, because it cannot be determined when the others have no work left.
     */
    private List<String> isolationCandidates(String model, Set<String> excluded) {
        List<EngineView> usable = fleet.views(timing.ticker().nanos()).stream()
                .filter(view -> view.condition() == EngineCondition.READY && view.role() == EngineRole.BOTH)
                .filter(view -> serves(view, model))
                .filter(view -> !excluded.contains(view.name()) && !isDown(view.name()))
                .toList();
        List<EngineView> detailed = usable.stream()
                .filter(view -> fleet.isDetailed(view.spec().failureDomain()))
                .toList();
        return (detailed.isEmpty() ? usable : detailed)
                .stream().map(EngineView::name).toList();
    }

    /**
     * Returns whether an engine crashed recently and has not been seen since; any request sent to it would fail. An
     * engine is seen by a new incarnation, or by a report of the same one, which shows that it was only unreachable.
     */
    synchronized boolean isDown(String engine) {
        String incarnation = engine + "@" + fleet.incarnation(engine);
        long now = timing.clock().millis();
        long lastSeenMillis = now - reportAgeMillis(engine);
        long since = Math.max(now - DOWN_MILLIS, lastSeenMillis);
        return table.entries().stream()
                .anyMatch(entry ->
                        entry.lastChangeMillis() > since && entry.crashes().contains(incarnation));
    }

    /** Returns the age of the last report of an engine; {@code Long.MAX_VALUE} if there is none. */
    private long reportAgeMillis(String engine) {
        return fleet.view(engine, timing.ticker().nanos())
                .map(EngineView::reportAgeMillis)
                .orElse(Long.MAX_VALUE);
    }

    /** Returns whether an engine that serves a model is available or expected to become available again. */
    boolean isEngineDueBack(String model) {
        return fleet.views(timing.ticker().nanos()).stream()
                .filter(view -> serves(view, model) && view.condition() != EngineCondition.LEAVING)
                .anyMatch(view -> view.reportAgeMillis() <= DUE_BACK_MILLIS);
    }

    private static boolean serves(EngineView engine, String model) {
        return engine.spec().models().isEmpty() || engine.spec().models().contains(model);
    }

    /** Returns the refusal of a request that is blocked because it crashed engines. */
    private static Refusal blockedRefusal(long retryAfterMillis) {
        return Refusal.mayHaveRun(
                RefusalKind.CRASHES_SERVERS,
                "this request crashed backend servers and is not run again for now; change it, or send it again later",
                Optional.of(Math.max(1, retryAfterMillis)));
    }

    /** Logs the start of an isolated run. */
    private void logIsolatedRun(CompletionRequest request, Fingerprint fingerprint, String engine) {
        context.apply(Event.named("suspect_runs_alone"))
                .with("request", request.requestId())
                .with("customer", request.customer())
                .with("fingerprint", fingerprint.hex())
                .with("engine", engine)
                .log(log, Level.WARNING);
    }
}
