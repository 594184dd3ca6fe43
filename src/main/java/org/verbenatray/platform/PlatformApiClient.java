package org.verbenatray.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.verbenatray.duties.DutyHolder;
import org.verbenatray.duties.DutyOutcome;
import org.verbenatray.duties.PlatformApi;
import org.verbenatray.duties.ServerOrder;
import org.verbenatray.duties.UsageReport;
import org.verbenatray.instance.EventLoop;
import org.verbenatray.relay.RelayMetrics;
import org.verbenatray.servers.BufferedResponse;
import org.verbenatray.servers.HttpCall;
import org.verbenatray.time.Deadline;

/** HTTP client of the platform's API for duties. Its calls run on the thread of the relay loop. */
final class PlatformApiClient implements PlatformApi {
    private static final long RESPONSE_TIMEOUT_MILLIS = 2_000;

    private static final int MAX_RESPONSE_BYTES = 16 * 1024;

    private final EventLoop loop;

    private final URI address;

    private final RelayMetrics metrics;

    private final ObjectMapper json = new ObjectMapper();

    private PlatformApiClient(EventLoop loop, URI address, RelayMetrics metrics) {
        this.loop = loop;
        this.address = address;
        this.metrics = metrics;
    }

    /** Returns a client of the API at a base URI. */
    static PlatformApiClient create(EventLoop loop, URI address, RelayMetrics metrics) {
        return new PlatformApiClient(loop, address, metrics);
    }

    @Override
    public CompletableFuture<DutyOutcome> reportUsage(DutyHolder holder, UsageReport report) {
        ObjectNode body = json.createObjectNode().put("windowId", report.window());
        ObjectNode counts = body.putObject("counts");
        report.counts().forEach(counts::put);
        return post("/usage", holder, body);
    }

    @Override
    public CompletableFuture<DutyOutcome> orderServers(DutyHolder holder, ServerOrder order) {
        ObjectNode body = json.createObjectNode()
                .put("service", order.service())
                .put("zone", order.domain())
                .put("desiredCount", order.count());
        if (order.reclaimable()) {
            body.put("spot", true);
        }
        return post("/scale", holder, body);
    }

    private CompletableFuture<DutyOutcome> post(String path, DutyHolder holder, ObjectNode body) {
        Map<String, String> headers = Map.of(
                "Content-Type", "application/json",
                "Duty-Holder", holder.instance(),
                "Fencing-Token", Long.toString(holder.fencingToken()));
        HttpCall call = HttpCall.create(
                        "POST", address, path, headers, body.toString().getBytes(StandardCharsets.UTF_8))
                .onNewConnection();
        Deadline deadline = Deadline.afterMillis(loop.ticker().nanos(), RESPONSE_TIMEOUT_MILLIS);
        return loop.transport()
                .call(call, loop.thread(), deadline, MAX_RESPONSE_BYTES)
                .handle((response, failure) -> {
                    metrics.recordApiCall(path, failure == null ? String.valueOf(response.status()) : "failed");
                    return failure == null ? outcome(response) : DutyOutcome.UNKNOWN;
                });
    }

    private static DutyOutcome outcome(BufferedResponse response) {
        return switch (response.status()) {
            case 200, 202 -> DutyOutcome.ACCEPTED;
            case 409 -> DutyOutcome.NOT_AVAILABLE;
            case 429 -> DutyOutcome.TOO_MANY_CALLS;
            default -> response.status() < 500 ? DutyOutcome.REJECTED : DutyOutcome.UNKNOWN;
        };
    }
}
