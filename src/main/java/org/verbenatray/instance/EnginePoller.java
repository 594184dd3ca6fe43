package org.verbenatray.instance;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.function.Supplier;
import org.verbenatray.configuration.FleetConfiguration;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;
import org.verbenatray.fleet.FleetView;
import org.verbenatray.fleet.LoadReport;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.servers.HttpCall;
import org.verbenatray.servers.HttpTransport;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Timing;

/** Polls the load reports of the engines in this instance's failure domain and passes them to the fleet view. */
final class EnginePoller {
    private static final Logger log = System.getLogger(EnginePoller.class.getName());

    private static final long POLL_INTERVAL_MILLIS = 500;

    private static final long READ_TIMEOUT_MILLIS = 1_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private static final int MAX_REPORT_BYTES = 64 * 1024;

    private final HttpTransport transport;

    private final Supplier<FleetConfiguration> configuration;

    private final String failureDomain;

    private final FleetView fleet;

    private final Timing timing;

    EnginePoller(
            HttpTransport transport,
            Supplier<FleetConfiguration> configuration,
            String failureDomain,
            FleetView fleet,
            Timing timing) {
        this.transport = transport;
        this.configuration = configuration;
        this.failureDomain = failureDomain;
        this.fleet = fleet;
        this.timing = timing;
    }

    /** Reads all reports now and schedules the next poll. */
    void start() {
        configuration.get().engines().forEach(this::readReport);
        timing.scheduler().runAt(timing.deadlineAfterMillis(POLL_INTERVAL_MILLIS), this::start);
    }

    /** Passes a report to the fleet view, aged by the round trip, as it may be from when the request was sent. */
    private void onReport(LoadReport report, long requestedNanos) {
        long now = timing.ticker().nanos();
        fleet.onReport(report.withAdditionalAge((now - requestedNanos) / NANOS_PER_MILLI), now);
    }

    private void readReport(String name, EngineSpec engine) {
        if (!engine.failureDomain().equals(failureDomain)) {
            return;
        }
        Deadline deadline = timing.deadlineAfterMillis(READ_TIMEOUT_MILLIS);
        long requestedNanos = timing.ticker().nanos();
        transport
                .call(
                        HttpCall.withoutBody("GET", engine.address(), "/load"),
                        transport.anyThread(),
                        deadline,
                        MAX_REPORT_BYTES)
                .thenAccept(response -> onReport(RecordCodec.decode(response.text(), LoadReport.class), requestedNanos))
                .exceptionally(failure -> {
                    Event.named("load_report_failed")
                            .with("engine", name)
                            .with("cause", failure.getMessage())
                            .log(log, Level.DEBUG);
                    return null;
                });
    }
}
