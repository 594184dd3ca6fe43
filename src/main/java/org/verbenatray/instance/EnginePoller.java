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

/** Reads the load reports of the engines in the own failure domain. */
final class EnginePoller {
    /** The logger. */
    private static final Logger log = System.getLogger(EnginePoller.class.getName());

    /** The pause between two reads in milliseconds. */
    private static final long PAUSE_MILLIS = 500;

    /** The time one read may take in milliseconds. */
    private static final long READ_MILLIS = 1_000;

    /** Nanoseconds in one millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The largest report in bytes. */
    private static final int MAX_REPORT_BYTES = 64 * 1024;

    /** The transport. */
    private final HttpTransport transport;

    /** The configuration in force. */
    private final Supplier<FleetConfiguration> configuration;

    /** The failure domain of this instance. */
    private final String failureDomain;

    /** Receives the reports. */
    private final FleetView fleet;

    /** The sources of time. */
    private final Timing timing;

    /** Creates a poller. */
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

    /** Reads all reports now and again after each pause. */
    void start() {
        configuration.get().engines().forEach(this::read);
        timing.scheduler().runAt(timing.inMillis(PAUSE_MILLIS), this::start);
    }

    /** Takes a report over that was measured at the earliest when it was asked for. */
    private void received(LoadReport report, long sentNanos) {
        long now = timing.ticker().nanos();
        fleet.onReport(report.aged((now - sentNanos) / NANOS_PER_MILLI), now);
    }

    /** Reads the report of one engine. */
    private void read(String name, EngineSpec engine) {
        if (!engine.failureDomain().equals(failureDomain)) {
            return;
        }
        Deadline deadline = timing.inMillis(READ_MILLIS);
        long sentNanos = timing.ticker().nanos();
        transport
                .call(
                        HttpCall.bare("GET", engine.address(), "/load"),
                        transport.anyThread(),
                        deadline,
                        MAX_REPORT_BYTES)
                .thenAccept(reply -> received(RecordCodec.decode(reply.text(), LoadReport.class), sentNanos))
                .exceptionally(failure -> {
                    Event.named("load_report_failed")
                            .with("engine", name)
                            .with("cause", failure.getMessage())
                            .log(log, Level.DEBUG);
                    return null;
                });
    }
}
