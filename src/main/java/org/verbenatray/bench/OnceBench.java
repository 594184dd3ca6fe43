package org.verbenatray.bench;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.verbenatray.demo.EmbeddedDeployment;
import org.verbenatray.demo.EmbeddedDeployment.Shape;
import org.verbenatray.load.UuidV7;
import org.verbenatray.servers.HttpCall;
import org.verbenatray.servers.HttpTransport;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Measures what it costs to run a call at most once, with the log as the limit of the rate. */
public final class OnceBench {
    /** The append calls per second that the platform takes. */
    private static final double APPENDS_PER_SECOND = 300;

    /** The turns of each path per point, the first of which warms up. */
    private static final int TURNS = 3;

    /** The time that a call may take in milliseconds. */
    private static final long CALL_MILLIS = 30_000;

    /** The largest answer in bytes. */
    private static final int MAX_BODY_BYTES = 1 << 20;

    /** The message of a refusal. */
    private static final Pattern MESSAGE = Pattern.compile("\"message\":\"([^\"]{0,120})");

    /** Nanoseconds in one second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** The transport of the callers. */
    private final HttpTransport transport;

    /** The deployment. */
    private final EmbeddedDeployment deployment;

    /** The number of the last call. */
    private final AtomicLong calls = new AtomicLong();

    /** The answers that were not whole. */
    private final AtomicLong failed = new AtomicLong();

    /** How often each kind of answer came that was not whole. */
    private final Map<String, Long> problems = new ConcurrentHashMap<>();

    /** Creates a run. */
    private OnceBench(HttpTransport transport, EmbeddedDeployment deployment) {
        this.transport = transport;
        this.deployment = deployment;
    }

    /** Measures with the given numbers of instances and of concurrent callers, each path for the seconds per turn. */
    public static void run(PrintStream out, List<Integer> instances, List<Integer> callers, double seconds)
            throws IOException, InterruptedException {
        XnioWorker worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 2, Options.THREAD_DAEMON, true));
        HttpTransport transport =
                HttpTransport.create(worker, new DefaultByteBufferPool(true, 16 * 1024), Ticker.system());
        BenchPoints points = BenchPoints.create(out);
        try {
            for (int count : instances) {
                for (int open : callers) {
                    points.add("once", onNewDeployment(transport, count, open, seconds));
                }
            }
            points.tables();
        } finally {
            worker.shutdownNow();
        }
    }

    /** Measures on a new deployment, whose table of calls is empty. */
    private static Map<String, Object> onNewDeployment(
            HttpTransport transport, int instances, int callers, double seconds)
            throws IOException, InterruptedException {
        Shape shape = new Shape(List.of("north"), instances, 1, 2, 1_000_000, 5, 5_000, APPENDS_PER_SECOND, 1);
        try (EmbeddedDeployment deployment = EmbeddedDeployment.start(shape)) {
            return new OnceBench(transport, deployment).point(instances, callers, seconds);
        }
    }

    /** Measures one number of callers. */
    private Map<String, Object> point(int instances, int callers, double seconds) {
        Times direct = Times.create();
        Times entry = Times.create();
        failed.set(0);
        problems.clear();
        long appends = 0;
        long idleAppends = 0;
        long nanos = 0;
        for (int turn = 0; turn < TURNS; turn++) {
            Times ofDirect = turn == 0 ? Times.create() : direct;
            Times ofEntry = turn == 0 ? Times.create() : entry;
            long idleBefore = appendCalls();
            ClosedLoop.run(callers, seconds, caller -> call(directCall(caller), ofDirect));
            idleAppends = turn == 0 ? 0 : idleAppends + appendCalls() - idleBefore;
            long before = appendCalls();
            long took = ClosedLoop.run(callers, seconds, caller -> call(entryCall(caller), ofEntry));
            appends = turn == 0 ? 0 : appends + appendCalls() - before;
            nanos = turn == 0 ? 0 : nanos + took;
        }
        Map<String, Object> point = new LinkedHashMap<>();
        point.put("instances", instances);
        point.put("callers", callers);
        point.put("calls_per_second", entry.count() / (nanos / NANOS_PER_SECOND));
        point.put("appends_per_second", appends / (nanos / NANOS_PER_SECOND));
        point.put("appends_per_call", appends / (double) entry.count());
        point.put("appends_without_calls", idleAppends);
        for (int percentile : new int[] {50, 99}) {
            point.put("direct_p" + percentile + "_ms", direct.millis(percentile));
            point.put("entry_p" + percentile + "_ms", entry.millis(percentile));
            point.put("ratio_p" + percentile, entry.millis(percentile) / direct.millis(percentile));
        }
        point.put("calls", entry.count());
        point.put("not_whole", failed.get());
        point.put("problems", new TreeMap<>(problems).toString());
        return point;
    }

    /** Returns the message of a refusal. */
    private static String message(String body) {
        Matcher message = MESSAGE.matcher(body);
        return message.find() ? message.group(1) : "unnamed";
    }

    /** Returns the append calls that the log took so far. */
    private long appendCalls() {
        return deployment.platform().records().appendCalls();
    }

    /** Makes one call and takes its time when its answer is whole. */
    private CompletableFuture<?> call(HttpCall call, Times times) {
        long start = System.nanoTime();
        Deadline deadline = Deadline.afterMillis(start, CALL_MILLIS);
        return transport
                .call(call, transport.anyThread(), deadline, MAX_BODY_BYTES)
                .handle((reply, failure) -> {
                    if (failure == null && reply.status() == 200) {
                        times.add(System.nanoTime() - start);
                    } else {
                        failed.incrementAndGet();
                        problems.merge(
                                failure != null ? "no answer" : reply.status() + " " + message(reply.text()),
                                1L,
                                Long::sum);
                    }
                    return null;
                });
    }

    /** Returns a call of a backend server. */
    private HttpCall directCall(int caller) {
        var services = deployment.services();
        return HttpCall.json("POST", services.get(caller % services.size()).address(), "/certificates", body());
    }

    /** Returns a call of an entry instance under a key of its own. */
    private HttpCall entryCall(int caller) {
        var entries = deployment.entries();
        return HttpCall.create(
                "POST",
                URI.create(entries.get(caller % entries.size()).callersAddress()),
                "/services/registry/certificates",
                Map.of(
                        "Authorization",
                        "Bearer " + EmbeddedDeployment.API_KEY,
                        "Idempotency-Key",
                        UuidV7.at(System.currentTimeMillis(), ThreadLocalRandom.current())
                                .toString(),
                        "Content-Type",
                        "application/json"),
                body().getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a body that no other call has. */
    private String body() {
        return "{\"certificate\":" + calls.incrementAndGet() + "}";
    }
}
