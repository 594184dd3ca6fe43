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
import org.verbenatray.load.CallKind;
import org.verbenatray.load.CallResult;
import org.verbenatray.load.CallResult.Outcome;
import org.verbenatray.load.LoadCall;
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

/** Drives a mix of calls through an embedded deployment with planned changes and a crash on the way. */
public final class DemoRun {
    /** The time that a call may take in milliseconds. */
    private static final long PATIENCE_MILLIS = 30_000;

    /** Nanoseconds in one second. */
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** The pause between calls in nanoseconds. */
    private static final long PAUSE_NANOS = 20_000_000L;

    /** The second at which an engine begins to leave. */
    private static final int LEAVE_SECOND = 3;

    /** The second at which an entry instance is drained. */
    private static final int DRAIN_SECOND = 6;

    /** The second at which an engine crashes. */
    private static final int CRASH_SECOND = 9;

    /** Where progress is written. */
    private final PrintStream progress;

    /** The length in seconds. */
    private final int seconds;

    /** The seed of the mix. */
    private final long seed;

    /** The counts and times. */
    private final LoadSummary summary = LoadSummary.create();

    /** The issuances with what their callers were told. */
    private final List<Issued> issued = new ArrayList<>();

    /** Creates a run. */
    private DemoRun(PrintStream progress, int seconds, long seed) {
        this.progress = progress;
        this.seconds = seconds;
        this.seed = seed;
    }

    /** Returns a run of the given length. */
    public static DemoRun create(PrintStream progress, int seconds, long seed) {
        return new DemoRun(progress, seconds, seed);
    }

    /** Runs and returns whether nothing was lost, doubled or crossed. */
    public boolean run() throws IOException, InterruptedException {
        Shape shape = new Shape(List.of("north", "south"), 4, 6, 2, 20_000, 5, 1_000, 300, 1);
        XnioWorker worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
        try (EmbeddedDeployment deployment = EmbeddedDeployment.start(shape)) {
            HttpTransport transport =
                    HttpTransport.create(worker, new DefaultByteBufferPool(true, 16 * 1024), Ticker.system());
            LoadCaller caller = LoadCaller.create(transport, EmbeddedDeployment.API_KEY, PATIENCE_MILLIS);
            drive(deployment, caller);
            return report(deployment);
        } finally {
            worker.shutdownNow();
        }
    }

    /** Makes the calls and the changes. */
    private void drive(EmbeddedDeployment deployment, LoadCaller caller) throws InterruptedException {
        LoadMix mix = LoadMix.create(seed, Clock.systemUTC());
        List<CompletableFuture<?>> open = new ArrayList<>();
        List<EntryInstance> live = new ArrayList<>(deployment.entries());
        long start = System.nanoTime();
        int second = 0;
        for (int turn = 0; System.nanoTime() - start < seconds * NANOS_PER_SECOND; turn++) {
            int now = (int) ((System.nanoTime() - start) / NANOS_PER_SECOND);
            if (now > second) {
                second = now;
                open.add(change(deployment, live, second));
                progress.println("second " + second + ": " + summary.count() + " answers, whole "
                        + summary.count(Outcome.WHOLE));
            }
            double reviews = second < seconds / 2 ? 0.1 : 0.2;
            open.add(call(caller, live.get(turn % live.size()), mix.next(reviews)));
            LockSupport.parkNanos(PAUSE_NANOS);
        }
        CompletableFuture.allOf(open.toArray(CompletableFuture[]::new))
                .orTimeout(2 * PATIENCE_MILLIS, TimeUnit.MILLISECONDS)
                .join();
    }

    /** Makes one call. */
    private CompletableFuture<?> call(LoadCaller caller, EntryInstance entry, LoadCall call) {
        return caller.call(entry.callersAddress(), call).thenAccept(result -> {
            summary.add(result);
            if (call.kind() == CallKind.ISSUANCE) {
                synchronized (issued) {
                    issued.add(new Issued(call.body(), result));
                }
            }
        });
    }

    /** Makes the change that is due in a second. */
    private CompletableFuture<?> change(EmbeddedDeployment deployment, List<EntryInstance> live, int second) {
        switch (second) {
            case LEAVE_SECOND -> {
                progress.println("planned change: engine-1 is leaving");
                deployment.engines().get(0).leave();
            }
            case DRAIN_SECOND -> {
                progress.println("planned change: the last entry instance is drained");
                EntryInstance leaving = live.remove(live.size() - 1);
                return CompletableFuture.runAsync(leaving::drainAndClose);
            }
            case CRASH_SECOND -> {
                progress.println("failure: engine-2 crashes and comes back");
                deployment.engines().get(1).crash();
            }
            default -> {
                // Nothing is due.
            }
        }
        return CompletableFuture.completedFuture(null);
    }

    /** Prints the table and returns whether nothing was lost, doubled or crossed. */
    private boolean report(EmbeddedDeployment deployment) {
        progress.println(summary.table());
        int roleChanges = deployment.engines().stream()
                .mapToInt(EngineServer::roleChanges)
                .sum();
        progress.println("role changes: " + roleChanges);
        summary.details().forEach(progress::println);
        int most = deployment.services().stream()
                .mapToInt(ServiceServer::mostRuns)
                .max()
                .orElse(0);
        long untrue = issued.stream()
                .filter(call -> call.result().outcome() == Outcome.NOT_RUN)
                .filter(call -> runs(deployment, call.body()) > 0)
                .count();
        long missing = issued.stream()
                .filter(call -> call.result().outcome() == Outcome.WHOLE)
                .filter(call -> runs(deployment, call.body()) != 1)
                .count();
        progress.println("issuances: most runs of one " + most + ", untrue \"not run\" " + untrue
                + ", answered but not run exactly once " + missing);
        boolean lost = summary.count(Outcome.LOST) + summary.count(Outcome.WRONG) > 0;
        return !lost && most <= 1 && untrue == 0 && missing == 0;
    }

    /** Returns how often an issuance ran. */
    private static int runs(EmbeddedDeployment deployment, String body) {
        return deployment.services().stream()
                .mapToInt(service -> service.runs("POST", "/certificates", body))
                .sum();
    }

    /**
     * An issuance with what its caller was told.
     *
     * @param body the body, which is its own
     * @param result what became of the call
     */
    private record Issued(String body, CallResult result) {}
}
