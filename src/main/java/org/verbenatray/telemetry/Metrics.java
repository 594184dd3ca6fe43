package org.verbenatray.telemetry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** The Prometheus metrics of one process; thread-safe. */
public final class Metrics {
    private final PrometheusRegistry registry = new PrometheusRegistry();

    private final Counter responseCounter = Counter.builder()
            .name("verbenatray_answers_total")
            .help("Final answers to callers by pipeline and result.")
            .labelNames("pipeline", "result")
            .register(registry);

    private final Counter droppedChunkCounter = Counter.builder()
            .name("verbenatray_dropped_replies_total")
            .help("Replies dropped because their dispatch id or offset did not fit, by reason.")
            .labelNames("reason")
            .register(registry);

    private final Counter recoveryCounter = Counter.builder()
            .name("verbenatray_stream_recoveries_total")
            .help("Streams that were resumed or run again, by kind.")
            .labelNames("kind")
            .register(registry);

    private final Counter roleChangeCounter = Counter.builder()
            .name("verbenatray_role_changes_total")
            .help("Role changes ordered by this instance.")
            .register(registry);

    private final Histogram firstTokenHistogram = Histogram.builder()
            .name("verbenatray_first_token_seconds")
            .help("Time from the receipt of a request to its first token.")
            .classicUpperBounds(0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
            .register(registry);

    private final Histogram betweenTokensHistogram = Histogram.builder()
            .name("verbenatray_between_tokens_seconds")
            .help("Mean time between the tokens of one answer.")
            .classicUpperBounds(0.002, 0.005, 0.01, 0.015, 0.02, 0.026, 0.04, 0.08, 0.16)
            .register(registry);

    private final Gauge openRequestsGauge = Gauge.builder()
            .name("verbenatray_open_requests")
            .help("Requests that have no final answer yet.")
            .register(registry);

    private final Gauge configurationOffsetGauge = Gauge.builder()
            .name("verbenatray_configuration_offset")
            .help("Offset of the configuration in force, -1 for none.")
            .register(registry);

    private final Gauge logAgeGauge = Gauge.builder()
            .name("verbenatray_log_age_seconds")
            .help("Time since the log service last answered a read.")
            .register(registry);

    private Metrics() {
        JvmMetrics.builder().register(registry);
    }

    /** Returns metrics in a registry of their own, together with those of the JVM. */
    public static Metrics create() {
        return new Metrics();
    }

    /** Counts a final response of a pipeline, by its result. */
    public void recordResponse(String pipeline, String result) {
        responseCounter.labelValues(pipeline, result).inc();
    }

    /** Counts a chunk of an engine's stream whose dispatch id or offset did not match the open dispatch. */
    public void recordDroppedChunk(String reason) {
        droppedChunkCounter.labelValues(reason).inc();
    }

    /** Counts a stream that was resumed or run again. */
    public void recordRecovery(String kind) {
        recoveryCounter.labelValues(kind).inc();
    }

    /** Counts a role change ordered by this instance. */
    public void recordRoleChange() {
        roleChangeCounter.inc();
    }

    /** Records the time to first token of a request, in nanoseconds. */
    public void recordFirstToken(long nanos) {
        firstTokenHistogram.observe(nanos / 1e9);
    }

    /** Records the mean time between tokens of a response, in nanoseconds. */
    public void recordBetweenTokens(double nanos) {
        betweenTokensHistogram.observe(nanos / 1e9);
    }

    /** Sets the number of requests without a final response. */
    public void setOpenRequests(int open) {
        openRequestsGauge.set(open);
    }

    /** Sets the log offset of the configuration in force, -1 for none. */
    public void setConfigurationOffset(long offset) {
        configurationOffsetGauge.set(offset);
    }

    /** Sets the time since the log service last responded to a read, in nanoseconds. */
    public void setLogAge(long nanos) {
        logAgeGauge.set(nanos / 1e9);
    }

    /** Returns all metrics in the Prometheus text format. */
    public String prometheusText() {
        ByteArrayOutputStream out = new ByteArrayOutputStream(8192);
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toString(StandardCharsets.UTF_8);
    }
}
