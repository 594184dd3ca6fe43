package org.verbenatray.faults;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.verbenatray.demo.EmbeddedDeployment;
import org.verbenatray.demo.EmbeddedDeployment.Shape;
import org.verbenatray.load.CallResult.Outcome;
import org.verbenatray.load.LoadCaller;
import org.verbenatray.load.LoadSummary;
import org.verbenatray.servers.HttpTransport;
import org.verbenatray.standin.EngineServer;
import org.verbenatray.time.Ticker;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Runs one fault plan against an in-process deployment under load and verifies the invariants. */
public final class FaultRun {
    /** The shape of the deployment. */
    static final Shape SHAPE = new Shape(List.of("north", "south"), 4, 6, 2, 20_000, 5, 1_000, 300, 1);

    /**
     * The time within which all instances must have the latest accepted configuration after the faults have ended, in
     * milliseconds.
     */
    private static final long CONVERGENCE_TIMEOUT_MILLIS = 10_000;

    /** The time after a request's timeout within which its final response must arrive, in milliseconds. */
    private static final long RESPONSE_MARGIN_MILLIS = 5_000;

    /** The time within which all calls and changes must complete after the run, in milliseconds. */
    private static final long SETTLE_TIMEOUT_MILLIS = 60_000;

    /** The interval between calls and between configuration checks in nanoseconds. */
    private static final long CALL_INTERVAL_NANOS = 25_000_000L;

    /** Configuration that makes role changes cheap and fast, so that they occur within a short run. */
    private static final String ROLES_YAML =
            "roles:\n  changePrice: 0\n  changeMillis: 1000\n  shortWindowMillis: 1000\n  longWindowMillis: 4000\n";

    private final FaultPlan plan;

    private final Violations violations = Violations.create();

    private final ConfigurationMonitor monitor = ConfigurationMonitor.create(violations);

    private FaultRun(FaultPlan plan) {
        this.plan = plan;
    }

    /** Returns a run of the given plan. */
    public static FaultRun create(FaultPlan plan) {
        return new FaultRun(plan);
    }

    /** Runs the plan and returns the report. Blocks until all calls and changes have completed or timed out. */
    public FaultReport run() throws IOException, InterruptedException {
        XnioWorker worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
        try (RunExecutors executors = RunExecutors.create();
                EmbeddedDeployment deployment = EmbeddedDeployment.start(SHAPE)) {
            HttpTransport transport =
                    HttpTransport.create(worker, new DefaultByteBufferPool(true, 16 * 1024), Ticker.system());
            LoadCaller caller = LoadCaller.create(
                    transport,
                    EmbeddedDeployment.API_KEY,
                    LoadGenerator.REQUEST_TIMEOUT_MILLIS + RESPONSE_MARGIN_MILLIS);
            FaultInjector injector = FaultInjector.create(deployment, monitor, violations, executors);
            IssuanceLedger ledger = IssuanceLedger.create(body -> runs(deployment, body), violations);
            LoadGenerator loadGenerator = LoadGenerator.create(caller, plan, injector, ledger, violations, executors);
            injector.publish("roles.yaml", ROLES_YAML);
            runPlan(injector, loadGenerator);
            awaitSettled(injector, loadGenerator);
            injector.verify();
            ledger.verify();
            verifyPoisonCrashes(injector);
            return createReport(deployment, injector, loadGenerator, ledger);
        } finally {
            worker.shutdownNow();
        }
    }

    /** Sends the load and injects the faults at their start times. */
    private void runPlan(FaultInjector injector, LoadGenerator loadGenerator) {
        Deque<Fault> remainingFaults = new ArrayDeque<>(plan.faults());
        long start = System.nanoTime();
        long elapsedMillis = 0;
        for (int turn = 0; elapsedMillis < plan.millis(); turn++) {
            elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
            while (!remainingFaults.isEmpty() && remainingFaults.peek().startMillis() <= elapsedMillis) {
                Fault fault = remainingFaults.poll();
                if (fault.kind() == FaultKind.POISON) {
                    loadGenerator.sendPoison();
                } else {
                    injector.inject(fault);
                }
            }
            loadGenerator.sendNext(turn);
            monitor.check(injector.liveInstances());
            LockSupport.parkNanos(CALL_INTERVAL_NANOS);
        }
    }

    /** Ends the faults, then waits until the configurations have converged and all calls and changes have completed. */
    private void awaitSettled(FaultInjector injector, LoadGenerator loadGenerator) throws InterruptedException {
        injector.clearFaults();
        boolean converged = awaitCondition(CONVERGENCE_TIMEOUT_MILLIS, () -> {
            monitor.check(injector.liveInstances());
            return monitor.hasConverged(injector.liveInstances());
        });
        violations.addUnless(
                converged,
                "the instances don't have offset " + monitor.latestAcceptedOffset() + " in time: "
                        + injector.liveInstances().stream()
                                .map(instance -> instance.activeConfiguration().offset())
                                .toList());
        awaitCompletion("a call has no final response", loadGenerator.allCompleted());
        awaitCompletion("a change did not end", injector.allCompleted());
    }

    private void awaitCompletion(String violation, CompletableFuture<?> future) throws InterruptedException {
        try {
            future.get(SETTLE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            violations.add(violation);
        } catch (ExecutionException e) {
            violations.add(violation + ": " + e.getCause());
        }
    }

    /** Waits for a condition. Returns false if it does not become true within the timeout. */
    private static boolean awaitCondition(long timeoutMillis, BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadline > 0) {
                return false;
            }
            LockSupport.parkNanos(CALL_INTERVAL_NANOS);
        }
        return true;
    }

    /**
     * Verifies the number of crashes caused by the poison request, which one client sends again after each response.
     * The bound is higher if instances were killed.
     */
    private void verifyPoisonCrashes(FaultInjector injector) {
        int maxCrashes = plan.contains(FaultKind.INSTANCE_KILLED) ? 2 * SHAPE.entries() : 2;
        int crashes = injector.uninjectedCrashes();
        violations.addUnless(
                crashes <= maxCrashes, "the poison request crashed " + crashes + " engines, bound " + maxCrashes);
    }

    private static int runs(EmbeddedDeployment deployment, String body) {
        return deployment.services().stream()
                .mapToInt(service -> service.runs("POST", "/certificates", body))
                .sum();
    }

    private FaultReport createReport(
            EmbeddedDeployment deployment, FaultInjector injector, LoadGenerator loadGenerator, IssuanceLedger ledger) {
        LoadSummary summary = loadGenerator.summary();
        List<String> faults = new ArrayList<>();
        plan.faults().forEach(fault -> faults.add(fault.kind().name() + "@" + fault.startMillis()));
        return new FaultReport(
                plan.seed(),
                plan.plannedOnly(),
                faults,
                summary.count(),
                summary.count(Outcome.WHOLE),
                summary.count(Outcome.NOT_RUN),
                summary.count(Outcome.MAY_HAVE_RUN),
                loadGenerator.brokenByKill(),
                loadGenerator.wronglyBlocked(),
                ledger.count(),
                deployment.engines().stream()
                        .mapToInt(EngineServer::roleChanges)
                        .sum(),
                injector.uninjectedCrashes(),
                violations.messages(),
                summary.failureDetails());
    }
}
