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

/** The metrics of one process. */
public final class Metrics {
    /** The registry that holds them. */
    private final PrometheusRegistry registry = new PrometheusRegistry();

    /** Answers by kind and result. */
    private final Counter answers = Counter.builder()
            .name("verbenatray_answers_total")
            .help("Final answers to callers by pipeline and result.")
            .labelNames("pipeline", "result")
            .register(registry);

    /** Replies that were dropped because they did not belong to the open dispatch. */
    private final Counter droppedReplies = Counter.builder()
            .name("verbenatray_dropped_replies_total")
            .help("Replies dropped because their dispatch id or offset did not fit, by reason.")
            .labelNames("reason")
            .register(registry);

    /** Recoveries of streams by kind. */
    private final Counter recoveries = Counter.builder()
            .name("verbenatray_stream_recoveries_total")
            .help("Streams that were resumed or run again, by kind.")
            .labelNames("kind")
            .register(registry);

    /** Role changes that were ordered. */
    private final Counter roleChanges = Counter.builder()
            .name("verbenatray_role_changes_total")
            .help("Role changes ordered by this instance.")
            .register(registry);

    /** Time to the first token. */
    private final Histogram firstToken = Histogram.builder()
            .name("verbenatray_first_token_seconds")
            .help("Time from the receipt of a request to its first token.")
            .classicUpperBounds(0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
            .register(registry);

    /** Time between tokens. */
    private final Histogram betweenTokens = Histogram.builder()
            .name("verbenatray_between_tokens_seconds")
            .help("Mean time between the tokens of one answer.")
            .classicUpperBounds(0.002, 0.005, 0.01, 0.015, 0.02, 0.026, 0.04, 0.08, 0.16)
            .register(registry);

    /** Requests that are open. */
    private final Gauge openRequests = Gauge.builder()
            .name("verbenatray_open_requests")
            .help("Requests that have no final answer yet.")
            .register(registry);

    /** The offset of the configuration in force. */
    private final Gauge configurationOffset = Gauge.builder()
            .name("verbenatray_configuration_offset")
            .help("Offset of the configuration in force, -1 for none.")
            .register(registry);

    /** The age of what is known of the log. */
    private final Gauge logAge = Gauge.builder()
            .name("verbenatray_log_age_seconds")
            .help("Time since the log service last answered a read.")
            .register(registry);

    /** Creates the metrics with those of the JVM. */
    private Metrics() {
        JvmMetrics.builder().register(registry);
    }

    /** Returns fresh metrics. */
    public static Metrics create() {
        return new Metrics();
    }

    /** Counts a final answer of a pipeline. */
    public void answered(String pipeline, String result) {
        answers.labelValues(pipeline, result).inc();
    }

    /** Counts a dropped reply. */
    public void droppedReply(String reason) {
        droppedReplies.labelValues(reason).inc();
    }

    /** Counts a recovered stream. */
    public void recovered(String kind) {
        recoveries.labelValues(kind).inc();
    }

    /** Counts an ordered role change. */
    public void roleChanged() {
        roleChanges.inc();
    }

    /** Records the time to the first token in nanoseconds. */
    public void firstToken(long nanos) {
        firstToken.observe(nanos / 1e9);
    }

    /** Records the mean time between tokens in nanoseconds. */
    public void betweenTokens(double nanos) {
        betweenTokens.observe(nanos / 1e9);
    }

    /** Sets the number of open requests. */
    public void openRequests(int open) {
        openRequests.set(open);
    }

    /** Sets the offset of the configuration in force. */
    public void configurationOffset(long offset) {
        configurationOffset.set(offset);
    }

    /** Sets the age of what is known of the log in nanoseconds. */
    public void logAge(long nanos) {
        logAge.set(nanos / 1e9);
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
