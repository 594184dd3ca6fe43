package org.verbenatray.bench;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.verbenatray.bench.FleetFiles.FleetSize;
import org.verbenatray.configuration.EngineRole;
import org.verbenatray.fleet.InstanceEntry;
import org.verbenatray.fleet.LoadReport;
import org.verbenatray.instance.EntryInstance;
import org.verbenatray.instance.LogSession;
import org.verbenatray.log.RecordBody.ConfigurationChange;
import org.verbenatray.log.RecordBody.FileChange;
import org.verbenatray.settings.EntrySettings;
import org.verbenatray.standin.InMemoryLog;
import org.verbenatray.standin.PlatformServer;
import org.verbenatray.web.Replies;

/** Measures the control work of one entry instance without requests. */
final class IdleInstance {
    /** The loopback addresses whose last number differs. */
    private static final int ADDRESSES_PER_NET = 250;

    /** The time in which the instance settles in milliseconds. */
    private static final long SETTLE_MILLIS = 5_000;

    /** The time that reading the log may take in milliseconds. */
    private static final long READ_MILLIS = 20_000;

    /** The counters of the network interfaces of Linux. */
    private static final Path COUNTERS = Path.of("/proc/net/dev");

    /** Nanoseconds in one second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** Prevents instances. */
    private IdleInstance() {}

    /** Returns the figures of one instance with the given engines in its failure domain. */
    static Map<String, Object> measure(FleetSize size, double seconds) throws IOException, InterruptedException {
        AtomicLong polls = new AtomicLong();
        Undertow engines = engineServer(polls);
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        try (PlatformServer platform = PlatformServer.start(any, InMemoryLog.create())) {
            InetSocketAddress bound =
                    (InetSocketAddress) engines.getListenerInfo().get(0).getAddress();
            publish(size, platform, bound.getPort());
            Set<Long> before = ThreadCpu.liveThreads();
            EntrySettings settings = new EntrySettings(
                    "entry-1",
                    "domain-1",
                    platform.address(),
                    any,
                    any,
                    any,
                    List.of(),
                    1,
                    1L << 24,
                    4_096,
                    60_000,
                    5_000,
                    3_000);
            try (EntryInstance instance = EntryInstance.start(settings)) {
                TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
                if (!instance.isReady()) {
                    throw new IllegalStateException("the instance has no configuration; use fewer engines");
                }
                ThreadCpu cpu = ThreadCpu.startedSince(before);
                return point(size, cpu, polls, platform, seconds);
            }
        } finally {
            engines.stop();
        }
    }

    /** Measures over the given time. */
    private static Map<String, Object> point(
            FleetSize size, ThreadCpu cpu, AtomicLong polls, PlatformServer platform, double seconds)
            throws IOException, InterruptedException {
        long start = System.nanoTime();
        long cpuBefore = cpu.nanos();
        long pollsBefore = polls.get();
        long bytesBefore = loopbackBytes();
        long appendsBefore = platform.records().appendCalls();
        TimeUnit.MILLISECONDS.sleep((long) (seconds * 1_000));
        double took = (System.nanoTime() - start) / NANOS_PER_SECOND;
        Map<String, Object> point = new LinkedHashMap<>();
        point.put("engines", size.engines());
        point.put("customers", size.customers());
        point.put("threads", cpu.threads());
        point.put("cpu_percent_of_core", (cpu.nanos() - cpuBefore) / NANOS_PER_SECOND / took * 100);
        point.put("load_reports_per_second", (polls.get() - pollsBefore) / took);
        point.put("appends_per_second", (platform.records().appendCalls() - appendsBefore) / took);
        point.put("loopback_bytes_per_second", (loopbackBytes() - bytesBefore) / took);
        return point;
    }

    /** Returns a server that answers for every engine, each of which has a loopback address of its own. */
    private static Undertow engineServer(AtomicLong polls) {
        Undertow server = Undertow.builder()
                .addHttpListener(0, "0.0.0.0")
                .setIoThreads(2)
                .setWorkerThreads(1)
                .setHandler(exchange -> answer(exchange, polls))
                .build();
        server.start();
        return server;
    }

    /** Reports the load of the engine that was asked. */
    private static void answer(HttpServerExchange exchange, AtomicLong polls) {
        if (!exchange.getRequestPath().equals("/load")) {
            Replies.text(exchange, 404, "text/plain", "only /load is served");
            return;
        }
        String[] numbers = exchange.getHostName().split("\\.");
        int index = Integer.parseInt(numbers[2]) * ADDRESSES_PER_NET + Integer.parseInt(numbers[3]) - 1;
        long sequence = polls.incrementAndGet();
        Replies.json(
                exchange,
                200,
                new LoadReport(
                        FleetFiles.engine(index), 1, sequence, EngineRole.BOTH, false, false, 2, 1_000, 100_000, 0));
    }

    /** Publishes the configuration and shows the engines in the instance list. */
    private static void publish(FleetSize size, PlatformServer platform, int port) throws IOException {
        List<FileChange> files = new ArrayList<>();
        FleetFiles.of(size, 1, i -> address(i, port))
                .forEach((name, content) -> files.add(new FileChange(name, Optional.of(content), -1)));
        try (LogSession session = LogSession.open("operator", platform.address(), READ_MILLIS)) {
            session.append(new ConfigurationChange(files), Optional.of(-1L));
        }
        for (int i = 0; i < size.engines(); i++) {
            platform.show(new InstanceEntry(
                    FleetFiles.engine(i), InstanceEntry.Kind.ENGINE, "domain-1", address(i, port), 1, false));
        }
    }

    /** Returns the base URI of an engine. */
    private static String address(int index, int port) {
        return "http://127.0." + index / ADDRESSES_PER_NET + "." + (1 + index % ADDRESSES_PER_NET) + ":" + port;
    }

    /** Returns the bytes that the loopback interface carried so far, headers included; zero where it can't be read. */
    private static long loopbackBytes() throws IOException {
        if (!Files.isReadable(COUNTERS)) {
            return 0;
        }
        return Files.readAllLines(COUNTERS, StandardCharsets.US_ASCII).stream()
                .map(String::strip)
                .filter(line -> line.startsWith("lo:"))
                .mapToLong(line ->
                        Long.parseLong(line.substring("lo:".length()).strip().split("\\s+")[0]))
                .findFirst()
                .orElse(0);
    }
}
