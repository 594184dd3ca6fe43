package org.verbenatray.relay;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** The metrics of a relaying instance. */
public final class RelayMetrics {
    /** The bounds of the histograms in seconds. */
    private static final double[] SECONDS = {0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4};

    /** The registry that holds them. */
    private final PrometheusRegistry registry = new PrometheusRegistry();

    /** Final answers. */
    private final Counter answers = Counter.builder()
            .name("verbenatray_relay_answers_total")
            .help("Final answers to callers by route kind and outcome.")
            .labelNames("kind", "outcome")
            .register(registry);

    /** Sendings. */
    private final Counter forwards = Counter.builder()
            .name("verbenatray_relay_forwards_total")
            .help("Requests sent to backend servers by what became of them.")
            .labelNames("service", "outcome")
            .register(registry);

    /** Time to the first byte. */
    private final Histogram firstByte = Histogram.builder()
            .name("verbenatray_relay_first_byte_seconds")
            .help("Time from the receipt of a request to the first byte of its answer.")
            .labelNames("kind")
            .classicOnly()
            .classicUpperBounds(SECONDS)
            .register(registry);

    /** Time to the end. */
    private final Histogram wholeAnswer = Histogram.builder()
            .name("verbenatray_relay_answer_seconds")
            .help("Time from the receipt of a request to the end of its answer.")
            .labelNames("kind")
            .classicOnly()
            .classicUpperBounds(SECONDS)
            .register(registry);

    /** Requests that are open. */
    private final Gauge open = Gauge.builder()
            .name("verbenatray_relay_open_requests")
            .help("Requests that have no final answer yet.")
            .register(registry);

    /** The version of the routes. */
    private final Gauge catalogVersion = Gauge.builder()
            .name("verbenatray_catalog_version")
            .help("Version of the routes in force, 0 for none.")
            .register(registry);

    /** Calls to the store. */
    private final Counter storeCalls = Counter.builder()
            .name("verbenatray_store_calls_total")
            .help("Calls to the platform's store by call and result.")
            .labelNames("call", "result")
            .register(registry);

    /** Dropped log lines. */
    private final Counter droppedLines = Counter.builder()
            .name("verbenatray_log_lines_dropped_total")
            .help("Log lines dropped because the queue of the log was full.")
            .register(registry);

    /** Creates the metrics. */
    private RelayMetrics() {}

    /** Returns fresh metrics. */
    public static RelayMetrics create() {
        return new RelayMetrics();
    }

    /** Counts a final answer. */
    public void answered(String kind, String outcome, double seconds) {
        answers.labelValues(kind, outcome).inc();
        wholeAnswer.labelValues(kind).observe(seconds);
    }

    /** Counts a sending by its outcome. */
    public void forwarded(String service, String outcome) {
        forwards.labelValues(service, outcome).inc();
    }

    /** Records the time to the first byte of an answer in seconds. */
    public void firstByte(String kind, double seconds) {
        firstByte.labelValues(kind).observe(seconds);
    }

    /** Sets the number of open requests. */
    public void openRequests(int count) {
        open.set(count);
    }

    /** Sets the version of the routes in force. */
    public void catalogVersion(long version) {
        catalogVersion.set(version);
    }

    /** Counts a call to the store. */
    public void storeCall(String call, String result) {
        storeCalls.labelValues(call, result).inc();
    }

    /** Counts dropped log lines. */
    public void droppedLines(long count) {
        droppedLines.inc(count);
    }

    /** Returns all metrics in Prometheus' text format. */
    public String text() {
        ByteArrayOutputStream out = new ByteArrayOutputStream(8192);
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toString(StandardCharsets.UTF_8);
    }
}
