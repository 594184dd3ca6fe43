package org.verbenatray.openwork;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.verbenatray.backends.EngineReport;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;

/**
 * Sends what engines have reported to this instance to those that share its polls. A lost notice is not repeated:
 * the next report replaces it, and an instance that receives none polls by itself. Used on one thread.
 */
public final class ReportExchange {
    /** The time for which reports are gathered into one notice. */
    private static final long BATCH_MILLIS = 100;

    /** The size of a notice from which on another one is begun, so that most fit a packet. */
    private static final int FULL_BYTES = 1_200;

    /** The largest notice; a report that makes it larger is left out. */
    private static final int MAX_BYTES = 8_000;

    private static final Logger log = System.getLogger(ReportExchange.class.getName());

    private final String instance;

    /** Returns the addresses of the receivers. */
    private final Supplier<Collection<InetSocketAddress>> receivers;

    private final BiConsumer<InetSocketAddress, byte[]> sender;

    private final Consumer<PeerReport> listener;

    private final Speeds speeds;

    private final Ticker ticker;

    private final Scheduler scheduler;

    /** The reports to send, with the times at which they were made. */
    private final List<PendingReport> pending = new ArrayList<>();

    private boolean scheduled;

    /** Creates an exchange that passes the reports of other instances to a listener. */
    public ReportExchange(
            String instance,
            Supplier<Collection<InetSocketAddress>> receivers,
            BiConsumer<InetSocketAddress, byte[]> sender,
            Consumer<PeerReport> listener,
            Speeds speeds,
            Ticker ticker,
            Scheduler scheduler) {
        this.instance = instance;
        this.receivers = receivers;
        this.sender = sender;
        this.listener = listener;
        this.speeds = speeds;
        this.ticker = ticker;
        this.scheduler = scheduler;
    }

    /** Returns whether a datagram holds reports. */
    public static boolean recognizes(byte[] datagram) {
        return ReportNoticeCodec.recognizes(datagram);
    }

    /** Adds a report that was made now to the next notice. */
    public void publish(EngineReport report) {
        pending.add(new PendingReport(report, ticker.nanos()));
        if (!scheduled) {
            scheduled = true;
            scheduler.runAt(Deadline.afterMillis(ticker.nanos(), BATCH_MILLIS), this::send);
        }
    }

    /** Passes on the reports in a datagram; a malformed one is logged and dropped. */
    public void receive(byte[] datagram) {
        try {
            ReportNoticeCodec.Notice notice = ReportNoticeCodec.decode(datagram);
            notice.reports().forEach(report -> listener.accept(new PeerReport(notice.instance(), report)));
            notice.samples().forEach(speeds.told());
        } catch (IOException e) {
            Event.named("report_notice_malformed").with("why", e.getMessage()).log(log, Level.WARNING);
        }
    }

    private void send() {
        scheduled = false;
        List<byte[]> batch = new ArrayList<>();
        int bytes = 0;
        for (PendingReport each : pending) {
            byte[] encoded = ReportNoticeCodec.encodeReport(each.aged(ticker.nanos()));
            if (encoded.length > MAX_BYTES) {
                continue;
            }
            if (bytes > 0 && bytes + encoded.length > FULL_BYTES) {
                send(batch);
                batch.clear();
                bytes = 0;
            }
            batch.add(encoded);
            bytes += encoded.length;
        }
        pending.clear();
        send(batch);
    }

    private void send(List<byte[]> reports) {
        if (!reports.isEmpty()) {
            byte[] datagram =
                    ReportNoticeCodec.encode(instance, reports, speeds.toTell().get());
            receivers.get().forEach(address -> sender.accept(address, datagram));
        }
    }

    /**
     * A report that another instance has sent.
     *
     * @param instance the name of that instance
     * @param report the report
     */
    public record PeerReport(String instance, EngineReport report) {}

    /**
     * The speeds of engines, which travel with the reports.
     *
     * @param toTell supplies the samples that the others were not told
     * @param told receives the samples of the others
     */
    public record Speeds(Supplier<List<SpeedSample>> toTell, Consumer<SpeedSample> told) {}

    /** A report to send.
     *
     * @param report the report
     * @param madeNanos when it was made, in nanoseconds of the ticker
     */
    private record PendingReport(EngineReport report, long madeNanos) {
        EngineReport aged(long nowNanos) {
            return new EngineReport(
                    report.boot(),
                    (nowNanos - madeNanos) / 1_000_000,
                    report.answered(),
                    report.load(),
                    report.changes());
        }
    }
}
