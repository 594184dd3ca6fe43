package org.verbenatray.demo;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.PrintStream;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.verbenatray.demo.EmbeddedDeployment.Shape;
import org.verbenatray.instance.EntryInstance;
import org.verbenatray.load.CallResult;
import org.verbenatray.load.CallResult.Outcome;
import org.verbenatray.load.LoadCall;
import org.verbenatray.load.LoadCallKind;
import org.verbenatray.load.LoadCaller;
import org.verbenatray.load.LoadMix;
import org.verbenatray.load.LoadSummary;
import org.verbenatray.servers.HttpTransport;
import org.verbenatray.standin.EngineServer;
import org.verbenatray.standin.ServiceServer;
import org.verbenatray.time.Ticker;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Sends a mix of calls to an embedded deployment during planned changes and an engine crash, and checks every
 * response.
 */
public final class DemoRun {
    /** The timeout of a call in milliseconds. */
    private static final long CALL_TIMEOUT_MILLIS = 30_000;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private static final long PAUSE_NANOS = 20_000_000L;

    /** The second at which an engine starts to leave. */
    private static final int LEAVE_SECOND = 3;

    /** The second at which an entry instance is drained. */
    private static final int DRAIN_SECOND = 6;

    /** The second at which an engine crashes. */
    private static final int CRASH_SECOND = 9;

    private final PrintStream progress;

    private final int seconds;

    private final long seed;

    private final LoadSummary summary = LoadSummary.create();

    /** The issuances with the results their callers received; guarded by itself. */
    private final List<Issuance> issuances = new ArrayList<>();

    private DemoRun(PrintStream progress, int seconds, long seed) {
        this.progress = progress;
        this.seconds = seconds;
        this.seed = seed;
    }

    /** Returns a run of the given length in seconds. */
    public static DemoRun create(PrintStream progress, int seconds, long seed) {
        return new DemoRun(progress, seconds, seed);
    }

    /**
     * Runs the demonstration and returns whether no response was lost or wrong, and every issuance ran as often as
     * the response to its caller stated.
     */
    public boolean run() throws IOException, InterruptedException {
        Shape shape = new Shape(List.of("north", "south"), 4, 6, 2, 20_000, 5, 1_000, 300, 1);
        XnioWorker worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
        try (EmbeddedDeployment deployment = EmbeddedDeployment.start(shape)) {
            HttpTransport transport =
                    HttpTransport.create(worker, new DefaultByteBufferPool(true, 16 * 1024), Ticker.system());
            LoadCaller caller = LoadCaller.create(transport, EmbeddedDeployment.API_KEY, CALL_TIMEOUT_MILLIS);
            sendCalls(deployment, caller);
            return report(deployment);
        } finally {
            worker.shutdownNow();
        }
    }

    /** Sends the calls and makes the planned changes at their times. */
    private void sendCalls(EmbeddedDeployment deployment, LoadCaller caller) throws InterruptedException {
        LoadMix mix = LoadMix.create(seed, Clock.systemUTC());
        List<CompletableFuture<?>> open = new ArrayList<>();
        List<EntryInstance> liveEntries = new ArrayList<>(deployment.entries());
        long start = System.nanoTime();
        int second = 0;
        for (int turn = 0; System.nanoTime() - start < seconds * NANOS_PER_SECOND; turn++) {
            int now = (int) ((System.nanoTime() - start) / NANOS_PER_SECOND);
            if (now > second) {
                second = now;
                open.add(makePlannedChange(deployment, liveEntries, second));
                progress.println("second " + second + ": " + summary.count() + " answers, whole "
                        + summary.count(Outcome.WHOLE));
            }
            double reviewShare = second < seconds / 2 ? 0.1 : 0.2;
            open.add(call(caller, liveEntries.get(turn % liveEntries.size()), mix.next(reviewShare)));
            LockSupport.parkNanos(PAUSE_NANOS);
        }
        CompletableFuture.allOf(open.toArray(CompletableFuture[]::new))
                .orTimeout(2 * CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .join();
    }

    /** Sends one call and records its result. */
    private CompletableFuture<?> call(LoadCaller caller, EntryInstance entry, LoadCall call) {
        return caller.call(entry.callersAddress(), call).thenAccept(result -> {
            summary.add(result);
            if (call.kind() == LoadCallKind.ISSUANCE) {
                synchronized (issuances) {
                    issuances.add(new Issuance(call.body(), result));
                }
            }
        });
    }

    /** Makes the change that is due in the given second, if any. */
    private CompletableFuture<?> makePlannedChange(
            EmbeddedDeployment deployment, List<EntryInstance> liveEntries, int second) {
        switch (second) {
            case LEAVE_SECOND -> {
                progress.println("planned change: engine-1 is leaving");
                deployment.engines().get(0).startLeaving();
            }
            case DRAIN_SECOND -> {
                progress.println("planned change: the last entry instance is drained");
                EntryInstance leaving = liveEntries.remove(liveEntries.size() - 1);
                return CompletableFuture.runAsync(leaving::drainAndClose);
            }
            case CRASH_SECOND -> {
                progress.println("failure: engine-2 crashes and comes back");
                deployment.engines().get(1).crash();
            }
            default -> {
                // No change is due.
            }
        }
        return CompletableFuture.completedFuture(null);
    }

    /** Prints the results and returns whether all checks passed. */
    private boolean report(EmbeddedDeployment deployment) {
        progress.println(summary.table());
        int roleChanges = deployment.engines().stream()
                .mapToInt(EngineServer::roleChanges)
                .sum();
        progress.println("role changes: " + roleChanges);
        summary.failureDetails().forEach(progress::println);
        int mostRuns = deployment.services().stream()
                .mapToInt(ServiceServer::maxRunsOfNonGetCalls)
                .max()
                .orElse(0);
        long falseNotRun = issuances.stream()
                .filter(call -> call.result().outcome() == Outcome.NOT_RUN)
                .filter(call -> runs(deployment, call.body()) > 0)
                .count();
        long notRunOnce = issuances.stream()
                .filter(call -> call.result().outcome() == Outcome.WHOLE)
                .filter(call -> runs(deployment, call.body()) != 1)
                .count();
        progress.println("issuances: most runs of one " + mostRuns + ", false \"not run\" " + falseNotRun
                + ", answered but not run exactly once " + notRunOnce);
        boolean lost = summary.count(Outcome.LOST) + summary.count(Outcome.WRONG) > 0;
        return !lost && mostRuns <= 1 && falseNotRun == 0 && notRunOnce == 0;
    }

    /** Returns how often the issuance with the given body ran. */
    private static int runs(EmbeddedDeployment deployment, String body) {
        return deployment.services().stream()
                .mapToInt(service -> service.runs("POST", "/certificates", body))
                .sum();
    }

    /**
     * An issuance with the result its caller received.
     *
     * @param body the request body, which is unique
     * @param result the result of the call
     */
    private record Issuance(String body, CallResult result) {}
}
