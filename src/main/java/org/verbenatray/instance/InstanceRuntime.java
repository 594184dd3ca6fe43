package org.verbenatray.instance;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.time.Clock;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.verbenatray.servers.HttpTransport;
import org.verbenatray.settings.EntrySettings;
import org.verbenatray.telemetry.Metrics;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;
import org.verbenatray.time.Timing;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * The threads, clocks, HTTP transport and metrics that all components of an entry instance share.
 *
 * @param settings the settings
 * @param incarnation the start time of the instance in milliseconds since the epoch
 * @param worker the network I/O threads
 * @param executor the single thread that runs scheduled tasks
 * @param timing the clocks and the scheduler
 * @param transport the HTTP client for backend servers and the platform
 * @param metrics the metrics
 */
record InstanceRuntime(
        EntrySettings settings,
        long incarnation,
        XnioWorker worker,
        ScheduledExecutorService executor,
        Timing timing,
        HttpTransport transport,
        Metrics metrics) {
    private static final int BUFFER_BYTES = 16 * 1024;

    /** Creates a runtime and starts its threads. */
    static InstanceRuntime start(EntrySettings settings) throws IOException {
        XnioWorker worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, settings.ioThreads())
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .set(Options.TCP_NODELAY, true)
                        .getMap());
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "timer-" + settings.name());
            thread.setDaemon(true);
            return thread;
        });
        Ticker ticker = Ticker.system();
        Timing timing = new Timing(ticker, Clock.systemUTC(), Scheduler.onExecutor(executor, ticker));
        HttpTransport transport = HttpTransport.create(worker, new DefaultByteBufferPool(true, BUFFER_BYTES), ticker);
        long incarnation = timing.clock().millis();
        return new InstanceRuntime(settings, incarnation, worker, executor, timing, transport, Metrics.create());
    }

    /** Returns the id of this process, which no other process ever has: the name and the incarnation. */
    String id() {
        return settings.name() + "@" + incarnation;
    }

    /** Returns the current time of the monotonic clock in nanoseconds. */
    long nowNanos() {
        return timing.ticker().nanos();
    }

    /** Stops all threads. */
    void stop() {
        executor.shutdownNow();
        worker.shutdownNow();
    }
}
