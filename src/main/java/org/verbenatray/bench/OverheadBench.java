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

/**
 * Compares calls of stand-in engines over the direct path with calls through one entry instance. Both paths alternate
 * within one run.
 */
public final class OverheadBench {
    /** Number of engines; the direct path distributes its callers over them round-robin. */
    private static final int ENGINES = 8;

    private static final int STREAM_TOKENS = 40;

    /** Tokens of a short response that is not streamed. */
    private static final int SHORT_RESPONSE_TOKENS = 2;

    private static final int PROMPT_CHARS = 400;

    /** Rounds of each path per point; the first is a warm-up, whose latencies are discarded. */
    private static final int ROUNDS = 4;

    private static final long REQUEST_TIMEOUT_MILLIS = 30_000;

    private static final int MAX_BODY_BYTES = 1 << 20;

    private static final double NANOS_PER_SECOND = 1e9;

    private final HttpTransport transport;

    private final EmbeddedDeployment deployment;

    /** Processor time of the threads of the entry instance. */
    private final ThreadCpuTime instanceCpuTime;

    /** Number of the last call, which makes prompts unique. */
    private final AtomicLong callCounter = new AtomicLong();

    /** Number of failed or incomplete responses. */
    private final AtomicLong failedCalls = new AtomicLong();

    private final AtomicLong relayedTokens = new AtomicLong();

    private OverheadBench(HttpTransport transport, EmbeddedDeployment deployment, ThreadCpuTime instance) {
        this.transport = transport;
        this.deployment = deployment;
        this.instanceCpuTime = instance;
    }

    /**
     * Measures at the given numbers of concurrent streams and prints the points, each path for the given seconds per
     * round.
     */
    public static void run(PrintStream out, List<Integer> streams, double seconds)
            throws IOException, InterruptedException {
        XnioWorker worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 2, Options.THREAD_DAEMON, true));
        HttpTransport transport =
                HttpTransport.create(worker, new DefaultByteBufferPool(true, 16 * 1024), Ticker.system());
        Shape shape = new Shape(List.of("north"), 0, ENGINES, 0, 10_000_000, 5, 5_000, 300, 1);
        try (EmbeddedDeployment deployment = EmbeddedDeployment.start(shape)) {
            Set<Long> before = ThreadCpuTime.liveThreadIds();
            deployment.startEntryAndAwaitReady("entry-1", "north");
            BenchReport report = BenchReport.create(out);
            OverheadBench bench = new OverheadBench(transport, deployment, ThreadCpuTime.ofThreadsStartedSince(before));
            for (int count : streams) {
                report.printPoint("streams", bench.measureStreams(count, seconds));
            }
            for (int count : streams) {
                report.printPoint("whole-requests", bench.measureShortRequests(count, seconds));
            }
            report.printTables();
        } finally {
            worker.shutdownNow();
        }
    }

    /** Compares streams over both paths. */
    private Map<String, Object> measureStreams(int count, double seconds) {
        LatencyHistogram[] discarded = newHistograms();
        LatencyHistogram[] direct = newHistograms();
        LatencyHistogram[] entry = newHistograms();
        failedCalls.set(0);
        long cpuNanos = 0;
        for (int round = 0; round < ROUNDS; round++) {
            LatencyHistogram[] ofDirect = round == 0 ? discarded : direct;
            LatencyHistogram[] ofEntry = round == 0 ? discarded : entry;
            ClosedLoop.run(count, seconds, caller -> stream(directCall(caller), "\"tokens\":[\"", ofDirect));
            long before = instanceCpuTime.totalNanos();
            ClosedLoop.run(
                    count,
                    seconds,
                    caller -> stream(entryCall(STREAM_TOKENS, true), "\"text\":\"", ofEntry)
                            .thenAccept(tokens -> relayedTokens.addAndGet(Math.max(0, tokens))));
            cpuNanos = round == 0 ? 0 : cpuNanos + instanceCpuTime.totalNanos() - before;
            if (round == 0) {
                relayedTokens.set(0);
            }
        }
        Map<String, Object> point = new LinkedHashMap<>();
        point.put("streams", count);
        addComparison(point, "first_token", direct[0], entry[0]);
        addComparison(point, "between_tokens", direct[1], entry[1]);
        point.put("cpu_micros_per_token", cpuNanos / 1e3 / relayedTokens.get());
        point.put("answers", entry[0].count());
        point.put("not_whole", failedCalls.get());
        return point;
    }

    /** Measures short requests without streaming through the entry instance. */
    private Map<String, Object> measureShortRequests(int count, double seconds) {
        AtomicLong completed = new AtomicLong();
        failedCalls.set(0);
        long cpuNanos = 0;
        long nanos = 0;
        for (int round = 0; round < ROUNDS; round++) {
            if (round == 1) {
                completed.set(0);
            }
            long before = instanceCpuTime.totalNanos();
            long elapsedNanos =
                    ClosedLoop.run(count, seconds, caller -> shortCall().thenRun(completed::incrementAndGet));
            cpuNanos = round == 0 ? 0 : cpuNanos + instanceCpuTime.totalNanos() - before;
            nanos = round == 0 ? 0 : nanos + elapsedNanos;
        }
        Map<String, Object> point = new LinkedHashMap<>();
        point.put("callers", count);
        point.put("requests_per_second", completed.get() / (nanos / NANOS_PER_SECOND));
        point.put("requests_per_second_per_core", completed.get() / (cpuNanos / NANOS_PER_SECOND));
        point.put("cpu_micros_per_request", cpuNanos / 1e3 / completed.get());
        point.put("answers", completed.get());
        point.put("not_whole", failedCalls.get());
        return point;
    }

    /** Returns empty histograms of the time to first token and the time between tokens. */
    private static LatencyHistogram[] newHistograms() {
        return new LatencyHistogram[] {LatencyHistogram.create(), LatencyHistogram.create()};
    }

    /** Adds the latencies of both paths and their ratios to a point. */
    private static void addComparison(
            Map<String, Object> point, String name, LatencyHistogram direct, LatencyHistogram entry) {
        for (int percentile : new int[] {50, 99}) {
            double ofDirect = direct.percentileMillis(percentile);
            double ofEntry = entry.percentileMillis(percentile);
            point.put(name + "_p" + percentile + "_direct_ms", ofDirect);
            point.put(name + "_p" + percentile + "_entry_ms", ofEntry);
            point.put(name + "_p" + percentile + "_ratio", ofEntry / ofDirect);
        }
    }

    /** Streams one response and returns its number of tokens, -1 on failure. */
    private CompletableFuture<Integer> stream(HttpCall call, String tokenMarker, LatencyHistogram[] histograms) {
        return StreamProbe.measure(transport, call, tokenMarker, histograms[0], histograms[1])
                .thenApply(tokens -> {
                    if (tokens != STREAM_TOKENS) {
                        failedCalls.incrementAndGet();
                    }
                    return tokens;
                });
    }

    private CompletableFuture<?> shortCall() {
        Deadline deadline = Deadline.afterMillis(System.nanoTime(), REQUEST_TIMEOUT_MILLIS);
        return transport
                .call(entryCall(SHORT_RESPONSE_TOKENS, false), transport.anyThread(), deadline, MAX_BODY_BYTES)
                .handle((response, failure) -> {
                    if (failure != null || response.status() != 200) {
                        failedCalls.incrementAndGet();
                    }
                    return null;
                });
    }

    private HttpCall directCall(int caller) {
        long number = callCounter.incrementAndGet();
        GenerateRequest request = new GenerateRequest(
                "direct-" + number, "quick-check", uniquePrompt(number), STREAM_TOKENS, number, 80, 0, "");
        String address = deployment.engines().get(caller % ENGINES).address();
        return HttpCall.json("POST", address, "/generate", RecordCodec.encode(request));
    }

    private HttpCall entryCall(int tokens, boolean stream) {
        long number = callCounter.incrementAndGet();
        String body = "{\"model\":\"quick-check\",\"prompt\":\"" + uniquePrompt(number) + "\",\"max_tokens\":" + tokens
                + ",\"seed\":" + number + ",\"stream\":" + stream + "}";
        return HttpCall.create(
                "POST",
                URI.create(deployment.entries().get(0).callersAddress()),
                "/v1/completions",
                Map.of("Authorization", "Bearer " + EmbeddedDeployment.API_KEY, "Content-Type", "application/json"),
                body.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a prompt that no other call uses. */
    private static String uniquePrompt(long number) {
        return ("call " + number + " ").repeat(PROMPT_CHARS).substring(0, PROMPT_CHARS);
    }
}
