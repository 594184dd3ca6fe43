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

/** Prometheus metrics of a relay instance. */
public final class RelayMetrics {
    private static final double[] BUCKET_BOUNDS_SECONDS = {0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4};

    private final PrometheusRegistry registry = new PrometheusRegistry();

    private final Counter responses = Counter.builder()
            .name("verbenatray_relay_answers_total")
            .help("Final responses to callers by route kind and outcome.")
            .labelNames("kind", "outcome")
            .register(registry);

    private final Counter forwards = Counter.builder()
            .name("verbenatray_relay_forwards_total")
            .help("Requests sent to backend servers by outcome.")
            .labelNames("service", "outcome")
            .register(registry);

    private final Histogram firstByte = Histogram.builder()
            .name("verbenatray_relay_first_byte_seconds")
            .help("Time from the receipt of a request to the first byte of its response.")
            .labelNames("kind")
            .classicOnly()
            .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
            .register(registry);

    private final Histogram responseTime = Histogram.builder()
            .name("verbenatray_relay_answer_seconds")
            .help("Time from the receipt of a request to the end of its response.")
            .labelNames("kind")
            .classicOnly()
            .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
            .register(registry);

    private final Histogram loopLateness = Histogram.builder()
            .name("verbenatray_event_loop_late_seconds")
            .help("How late a regular task of the event loop ran; closes of callers and responses wait as long.")
            .classicOnly()
            .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
            .register(registry);

    private final Counter polls = Counter.builder()
            .name("verbenatray_engine_polls_total")
            .help("Polls of engines by what caused them; each asks for the load and for cache changes.")
            .labelNames("cause")
            .register(registry);

    private final Counter pollFailures = Counter.builder()
            .name("verbenatray_engine_poll_failures_total")
            .help("Requests of polls without a response, by kind of failure.")
            .labelNames("kind")
            .register(registry);

    private final Counter connections = Counter.builder()
            .name("verbenatray_connections_opened_total")
            .help("Connections opened to servers and to the platform, by what they were opened for.")
            .labelNames("purpose")
            .register(registry);

    private final Counter datagramBytes = Counter.builder()
            .name("verbenatray_datagram_bytes_total")
            .help("Bytes of datagrams sent to other instances.")
            .register(registry);

    private final Histogram serverHead = Histogram.builder()
            .name("verbenatray_server_head_seconds")
            .help("Time from the writing of a call to the head of its response, on new and on kept connections.")
            .labelNames("purpose", "connection")
            .classicOnly()
            .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
            .register(registry);

    private final Counter requestsRead = Counter.builder()
            .name("verbenatray_relay_requests_read_total")
            .help("Requests of callers that were read whole.")
            .register(registry);

    private final Counter requestEnds = Counter.builder()
            .name("verbenatray_relay_request_ends_total")
            .help("Requests that were read whole and have ended, by how they ended.")
            .labelNames("end")
            .register(registry);

    private final Gauge openRequests = Gauge.builder()
            .name("verbenatray_relay_open_requests")
            .help("Requests without a final response.")
            .register(registry);

    private final Gauge catalogVersion = Gauge.builder()
            .name("verbenatray_catalog_version")
            .help("Version of the routes in use, 0 for none.")
            .register(registry);

    private final Counter storeCalls = Counter.builder()
            .name("verbenatray_store_calls_total")
            .help("Calls to the platform's store by call and result.")
            .labelNames("call", "result")
            .register(registry);

    private final Counter apiCalls = Counter.builder()
            .name("verbenatray_platform_api_calls_total")
            .help("Calls to the platform's API for duties by call and result.")
            .labelNames("call", "result")
            .register(registry);

    private final Counter droppedLogLines = Counter.builder()
            .name("verbenatray_log_lines_dropped_total")
            .help("Log lines dropped because the queue of the log was full.")
            .register(registry);

    private RelayMetrics() {}

    /** Creates metrics with a registry of their own. */
    public static RelayMetrics create() {
        return new RelayMetrics();
    }

    /** Counts a final response and records the time from receipt to its end, in seconds. */
    public void recordResponse(String kind, String outcome, double seconds) {
        responses.labelValues(kind, outcome).inc();
        responseTime.labelValues(kind).observe(seconds);
    }

    /** Counts an attempt to forward a request to a service, by its outcome. */
    public void recordForward(String service, String outcome) {
        forwards.labelValues(service, outcome).inc();
    }

    /** Records the time from receipt to the first byte of the response, in seconds. */
    public void recordFirstByte(String kind, double seconds) {
        firstByte.labelValues(kind).observe(seconds);
    }

    /** Records how late a regular task of the event loop ran, in seconds. */
    public void recordLoopLateness(double seconds) {
        loopLateness.observe(seconds);
    }

    /** Counts a poll of an engine by its cause. */
    void recordPoll(String cause) {
        polls.labelValues(cause).inc();
    }

    /** Counts a request of a poll that got no response, by the kind of failure. */
    void recordPollFailure(String kind) {
        pollFailures.labelValues(kind).inc();
    }

    /** Counts a connection that is opened, by what it is opened for. */
    void recordConnection(String purpose) {
        connections.labelValues(purpose).inc();
    }

    /** Counts a datagram to another instance, by its size in bytes. */
    void recordDatagram(int bytes) {
        datagramBytes.inc(bytes);
    }

    /** Records the time from the writing of a call to the head of its response, in seconds. */
    void recordServerHead(String purpose, String connection, double seconds) {
        serverHead.labelValues(purpose, connection).observe(seconds);
    }

    /** Counts a request that was read whole. */
    void recordRequestRead() {
        requestsRead.inc();
    }

    /** Counts the end of a request, by how it ended. */
    void recordRequestEnd(String end) {
        requestEnds.labelValues(end).inc();
    }

    /** Sets the number of open requests. */
    void setOpenRequests(int count) {
        openRequests.set(count);
    }

    /** Sets the version of the routes in use. */
    public void setCatalogVersion(long version) {
        catalogVersion.set(version);
    }

    /** Counts a call to the platform's store, by its result. */
    public void recordStoreCall(String call, String result) {
        storeCalls.labelValues(call, result).inc();
    }

    /** Counts a call to the platform's API, by its result. */
    public void recordApiCall(String call, String result) {
        apiCalls.labelValues(call, result).inc();
    }

    /** Adds to the number of dropped log lines. */
    public void addDroppedLogLines(long count) {
        droppedLogLines.inc(count);
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
