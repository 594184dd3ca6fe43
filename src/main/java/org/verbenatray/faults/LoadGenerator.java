package org.verbenatray.faults;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.verbenatray.load.CallResult;
import org.verbenatray.load.CallResult.Outcome;
import org.verbenatray.load.LoadCall;
import org.verbenatray.load.LoadCallKind;
import org.verbenatray.load.LoadCaller;
import org.verbenatray.load.LoadMix;
import org.verbenatray.load.LoadSummary;

/** Sends a mix of calls, retries issuances with an unknown outcome at another instance and verifies every response. */
final class LoadGenerator {
    /** The timeout of each request in milliseconds. */
    static final long REQUEST_TIMEOUT_MILLIS = 12_000;

    /** The maximum number of attempts per issuance. */
    private static final int MAX_ATTEMPTS = 4;

    /** The JSON text of the error kind of a request that is blocked because it crashes engines. */
    private static final String BLOCKED_KIND = "\"crashes_servers\"";

    /** The number of times the poison request is sent. */
    private static final int POISON_SENDS = 5;

    /** The delay before an issuance with an unknown outcome is retried, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 150;

    /** The fraction of issuances that are sent through two instances concurrently. */
    private static final double DUPLICATE_FRACTION = 0.1;

    private final LoadCaller caller;

    private final LoadMix mix;

    private final SplittableRandom random;

    private final FaultInjector injector;

    private final IssuanceLedger ledger;

    private final Violations violations;

    private final RunExecutors executors;

    private final boolean plannedOnly;

    private final LoadSummary summary = LoadSummary.create();

    /** The number of calls whose connection broke because their instance was killed. */
    private final AtomicInteger brokenByKill = new AtomicInteger();

    /** The number of calls that were blocked although they are not the poison request. */
    private final AtomicInteger wronglyBlocked = new AtomicInteger();

    /** All calls started so far, with their retries. Used by one thread. */
    private final List<CompletableFuture<?>> calls = new ArrayList<>();

    private LoadGenerator(
            LoadCaller caller,
            FaultPlan plan,
            FaultInjector injector,
            IssuanceLedger ledger,
            Violations violations,
            RunExecutors executors) {
        this.caller = caller;
        this.mix = LoadMix.create(plan.seed(), Clock.systemUTC());
        this.random = new SplittableRandom(plan.seed()).split();
        this.plannedOnly = plan.plannedOnly();
        this.injector = injector;
        this.ledger = ledger;
        this.violations = violations;
        this.executors = executors;
    }

    /** Returns a generator that sends load to the instances of the given injector. */
    static LoadGenerator create(
            LoadCaller caller,
            FaultPlan plan,
            FaultInjector injector,
            IssuanceLedger ledger,
            Violations violations,
            RunExecutors executors) {
        return new LoadGenerator(caller, plan, injector, ledger, violations, executors);
    }

    /** Sends the next call of the mix. Must always be called by the same thread. */
    void sendNext(int turn) {
        LoadCall mixCall = mix.next(injector.reviewFraction());
        LoadCall call = mixCall.withHeader("X-Timeout-Millis", Long.toString(REQUEST_TIMEOUT_MILLIS));
        if (call.kind() != LoadCallKind.ISSUANCE) {
            calls.add(send(call, turn).thenAccept(result -> {}));
            return;
        }
        calls.add(sendIssuance(call, turn, 1));
        if (random.nextDouble() < DUPLICATE_FRACTION) {
            calls.add(sendIssuance(call, turn + 1, 1));
        }
    }

    /**
     * Sends a request that crashes engines, through one instance after the other. Must be called by the thread that
     * calls {@link #sendNext}.
     */
    void sendPoison() {
        String prompt = FaultInjector.POISON_TEXT + " of one caller";
        String body =
                "{\"model\":\"quick-check\",\"prompt\":\"" + prompt + "\",\"max_tokens\":8,\"seed\":1,\"stream\":true}";
        Map<String, String> headers = Map.of("X-Timeout-Millis", Long.toString(REQUEST_TIMEOUT_MILLIS));
        LoadCall call = new LoadCall(LoadCallKind.CHECK, "/v1/completions", headers, body, Optional.empty());
        calls.add(sendPoisonRepeatedly(call, 0));
    }

    /** Returns a future that completes when every call has its final response. */
    CompletableFuture<Void> allCompleted() {
        return CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new));
    }

    /** Returns the summary of all calls without the poison request. */
    LoadSummary summary() {
        return summary;
    }

    /** Returns the number of calls whose connection broke because their instance was killed. */
    int brokenByKill() {
        return brokenByKill.get();
    }

    /** Returns the number of calls that were blocked although they are not the poison request. */
    int wronglyBlocked() {
        return wronglyBlocked.get();
    }

    /** Sends the poison request and sends it again after its final response. */
    private CompletableFuture<Void> sendPoisonRepeatedly(LoadCall call, int sent) {
        if (sent == POISON_SENDS) {
            return CompletableFuture.completedFuture(null);
        }
        return send(call, sent).thenCompose(result -> runAfterRetryDelay(() -> sendPoisonRepeatedly(call, sent + 1)));
    }

    /** Sends an issuance and retries it at another instance while its outcome is unknown. */
    private CompletableFuture<Void> sendIssuance(LoadCall call, int turn, int attempt) {
        return send(call, turn).thenCompose(result -> {
            ledger.recordAttempt(call.body(), result, System.nanoTime());
            boolean outcomeUnknown = result.outcome() == Outcome.MAY_HAVE_RUN || result.outcome() == Outcome.LOST;
            return outcomeUnknown && attempt < MAX_ATTEMPTS
                    ? runAfterRetryDelay(() -> sendIssuance(call, turn + 1, attempt + 1))
                    : CompletableFuture.completedFuture(null);
        });
    }

    /** Runs an action after {@link #RETRY_DELAY_MILLIS}. */
    private CompletableFuture<Void> runAfterRetryDelay(Supplier<CompletableFuture<Void>> action) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        executors.schedule(
                RETRY_DELAY_MILLIS,
                () -> action.get().whenComplete((nothing, failure) -> {
                    if (failure == null) {
                        done.complete(null);
                    } else {
                        done.completeExceptionally(failure);
                    }
                }));
        return done;
    }

    /** Sends a call to an instance in round-robin order. */
    private CompletableFuture<CallResult> send(LoadCall call, int turn) {
        List<String> addresses = injector.addresses();
        String address = addresses.get(Math.floorMod(turn, addresses.size()));
        return caller.call(address, call).thenApply(result -> {
            verify(address, call, result);
            return result;
        });
    }

    /** Counts and verifies one response. */
    private void verify(String address, LoadCall call, CallResult result) {
        boolean isPoison = call.body().contains(FaultInjector.POISON_TEXT);
        if (!isPoison) {
            summary.add(result);
            wronglyBlocked.addAndGet(result.detail().contains(BLOCKED_KIND) ? 1 : 0);
        }
        if (result.outcome() == Outcome.WRONG) {
            violations.add("wrong response: " + result);
        }
        if (result.outcome() == Outcome.LOST) {
            if (injector.isKilled(address)) {
                brokenByKill.incrementAndGet();
            } else {
                violations.add("lost: " + result + " at " + address);
            }
        }
        boolean stillRunning = result.detail().startsWith("409 ");
        if (plannedOnly && result.outcome() == Outcome.MAY_HAVE_RUN && !stillRunning) {
            violations.add("cut by planned changes: " + result + " at " + address);
        }
    }
}
