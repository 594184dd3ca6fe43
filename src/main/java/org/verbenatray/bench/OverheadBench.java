package org.verbenatray.bench;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.verbenatray.demo.EmbeddedDeployment;
import org.verbenatray.demo.EmbeddedDeployment.Shape;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.servers.GenerateRequest;
import org.verbenatray.servers.HttpCall;
import org.verbenatray.servers.HttpTransport;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Compares the direct path to stand-in engines with the path through one entry instance, in turns within one run. */
public final class OverheadBench {
    /** The engines, over which the direct path goes in turn. */
    private static final int ENGINES = 8;

    /** The tokens of a streamed answer. */
    private static final int STREAM_TOKENS = 40;

    /** The tokens of a short whole answer. */
    private static final int WHOLE_TOKENS = 2;

    /** The characters of a prompt. */
    private static final int PROMPT_CHARS = 400;

    /** The turns of each path per point, the first of which warms up. */
    private static final int TURNS = 4;

    /** The time that a whole answer may take in milliseconds. */
    private static final long WHOLE_MILLIS = 30_000;

    /** The largest whole answer in bytes. */
    private static final int MAX_BODY_BYTES = 1 << 20;

    /** Nanoseconds in one second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** The transport of the callers. */
    private final HttpTransport transport;

    /** The deployment. */
    private final EmbeddedDeployment deployment;

    /** The threads of the entry instance. */
    private final ThreadCpu instance;

    /** The number of the last call. */
    private final AtomicLong calls = new AtomicLong();

    /** The answers that were not whole. */
    private final AtomicLong failed = new AtomicLong();

    /** The tokens that the entry instance relayed. */
    private final AtomicLong relayed = new AtomicLong();

    /** Creates a run. */
    private OverheadBench(HttpTransport transport, EmbeddedDeployment deployment, ThreadCpu instance) {
        this.transport = transport;
        this.deployment = deployment;
        this.instance = instance;
    }

    /** Measures at the given numbers of concurrent streams, each path for the given seconds per turn. */
    public static void run(PrintStream out, List<Integer> streams, double seconds)
            throws IOException, InterruptedException {
        XnioWorker worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 2, Options.THREAD_DAEMON, true));
        HttpTransport transport =
                HttpTransport.create(worker, new DefaultByteBufferPool(true, 16 * 1024), Ticker.system());
        Shape shape = new Shape(List.of("north"), 0, ENGINES, 0, 10_000_000, 5, 5_000, 300, 1);
        try (EmbeddedDeployment deployment = EmbeddedDeployment.start(shape)) {
            Set<Long> before = ThreadCpu.liveThreads();
            deployment.addEntry("entry-1", "north");
            BenchPoints points = BenchPoints.create(out);
            OverheadBench bench = new OverheadBench(transport, deployment, ThreadCpu.startedSince(before));
            for (int count : streams) {
                points.add("streams", bench.streams(count, seconds));
            }
            for (int count : streams) {
                points.add("whole-requests", bench.whole(count, seconds));
            }
            points.tables();
        } finally {
            worker.shutdownNow();
        }
    }

    /** Compares streams. */
    private Map<String, Object> streams(int count, double seconds) {
        Times[] discarded = times();
        Times[] direct = times();
        Times[] entry = times();
        failed.set(0);
        long cpu = 0;
        for (int turn = 0; turn < TURNS; turn++) {
            Times[] ofDirect = turn == 0 ? discarded : direct;
            Times[] ofEntry = turn == 0 ? discarded : entry;
            ClosedLoop.run(count, seconds, caller -> stream(directCall(caller), "\"tokens\":[\"", ofDirect));
            long before = instance.nanos();
            ClosedLoop.run(
                    count,
                    seconds,
                    caller -> stream(entryCall(STREAM_TOKENS, true), "\"text\":\"", ofEntry)
                            .thenAccept(tokens -> relayed.addAndGet(Math.max(0, tokens))));
            cpu = turn == 0 ? 0 : cpu + instance.nanos() - before;
            if (turn == 0) {
                relayed.set(0);
            }
        }
        Map<String, Object> point = new LinkedHashMap<>();
        point.put("streams", count);
        compare(point, "first_token", direct[0], entry[0]);
        compare(point, "between_tokens", direct[1], entry[1]);
        point.put("cpu_micros_per_token", cpu / 1e3 / relayed.get());
        point.put("answers", entry[0].count());
        point.put("not_whole", failed.get());
        return point;
    }

    /** Measures short whole requests through the entry instance. */
    private Map<String, Object> whole(int count, double seconds) {
        AtomicLong answers = new AtomicLong();
        failed.set(0);
        long cpu = 0;
        long nanos = 0;
        for (int turn = 0; turn < TURNS; turn++) {
            if (turn == 1) {
                answers.set(0);
            }
            long before = instance.nanos();
            long took = ClosedLoop.run(count, seconds, caller -> wholeCall().thenRun(answers::incrementAndGet));
            cpu = turn == 0 ? 0 : cpu + instance.nanos() - before;
            nanos = turn == 0 ? 0 : nanos + took;
        }
        Map<String, Object> point = new LinkedHashMap<>();
        point.put("callers", count);
        point.put("requests_per_second", answers.get() / (nanos / NANOS_PER_SECOND));
        point.put("requests_per_second_per_core", answers.get() / (cpu / NANOS_PER_SECOND));
        point.put("cpu_micros_per_request", cpu / 1e3 / answers.get());
        point.put("answers", answers.get());
        point.put("not_whole", failed.get());
        return point;
    }

    /** Returns times to the first token and between tokens. */
    private static Times[] times() {
        return new Times[] {Times.create(), Times.create()};
    }

    /** Adds the figures of both paths and their ratios. */
    private static void compare(Map<String, Object> point, String name, Times direct, Times entry) {
        for (int percentile : new int[] {50, 99}) {
            double ofDirect = direct.millis(percentile);
            double ofEntry = entry.millis(percentile);
            point.put(name + "_p" + percentile + "_direct_ms", ofDirect);
            point.put(name + "_p" + percentile + "_entry_ms", ofEntry);
            point.put(name + "_p" + percentile + "_ratio", ofEntry / ofDirect);
        }
    }

    /** Streams one answer and returns its tokens. */
    private CompletableFuture<Integer> stream(HttpCall call, String mark, Times[] times) {
        return StreamProbe.call(transport, call, mark, times[0], times[1]).thenApply(tokens -> {
            if (tokens != STREAM_TOKENS) {
                failed.incrementAndGet();
            }
            return tokens;
        });
    }

    /** Makes one call for a short whole answer. */
    private CompletableFuture<?> wholeCall() {
        Deadline deadline = Deadline.afterMillis(System.nanoTime(), WHOLE_MILLIS);
        return transport
                .call(entryCall(WHOLE_TOKENS, false), transport.anyThread(), deadline, MAX_BODY_BYTES)
                .handle((reply, failure) -> {
                    if (failure != null || reply.status() != 200) {
                        failed.incrementAndGet();
                    }
                    return null;
                });
    }

    /** Returns a call of an engine. */
    private HttpCall directCall(int caller) {
        long number = calls.incrementAndGet();
        GenerateRequest request =
                new GenerateRequest("direct-" + number, "gate-check", prompt(number), STREAM_TOKENS, number, 80, 0, "");
        String address = deployment.engines().get(caller % ENGINES).address();
        return HttpCall.json("POST", address, "/generate", RecordCodec.encode(request));
    }

    /** Returns a call of the entry instance. */
    private HttpCall entryCall(int tokens, boolean stream) {
        long number = calls.incrementAndGet();
        String body = "{\"model\":\"gate-check\",\"prompt\":\"" + prompt(number) + "\",\"max_tokens\":" + tokens
                + ",\"seed\":" + number + ",\"stream\":" + stream + "}";
        return HttpCall.create(
                "POST",
                URI.create(deployment.entries().get(0).callersAddress()),
                "/v1/completions",
                Map.of("Authorization", "Bearer " + EmbeddedDeployment.API_KEY, "Content-Type", "application/json"),
                body.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a prompt that no other call has. */
    private static String prompt(long number) {
        return ("call " + number + " ").repeat(PROMPT_CHARS).substring(0, PROMPT_CHARS);
    }
}
