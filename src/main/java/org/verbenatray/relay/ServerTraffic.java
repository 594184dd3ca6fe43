package org.verbenatray.relay;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.verbenatray.servers.CallPurpose;
import org.verbenatray.servers.ServerFailure;
import org.verbenatray.servers.TrafficListener;
import org.verbenatray.telemetry.Event;

/**
 * Counts what this instance sends unasked: polls by their causes and results, new connections by what opened them,
 * datagrams to other instances; and the time until servers answer on new and on kept connections. Used on one thread.
 */
public final class ServerTraffic implements TrafficListener {
    /** The time between two log lines, in milliseconds. */
    private static final long LOG_INTERVAL_MILLIS = 2_000;

    /** The time to a response from which on it counts as late in the log line, in seconds. */
    private static final double LATE_SECONDS = 0.5;

    private static final Logger log = System.getLogger(ServerTraffic.class.getName());

    private final RelayMetrics metrics;

    /** The counts since the last log line, by name. */
    private final Map<String, Long> counts = new TreeMap<>();

    private ServerTraffic(RelayMetrics metrics) {
        this.metrics = metrics;
    }

    /** Creates an object that passes its counts to the given metrics. */
    public static ServerTraffic create(RelayMetrics metrics) {
        return new ServerTraffic(metrics);
    }

    /** Records a poll of an engine. */
    void recordPoll(PollCause cause) {
        metrics.recordPoll(cause.label());
        count("polls_" + cause.label());
    }

    /** Records that a request of a poll got no response. */
    void recordPollFailure(Throwable failure) {
        String kind =
                failure instanceof ServerFailure known ? known.kind().name().toLowerCase(Locale.ROOT) : "other";
        metrics.recordPollFailure(kind);
        count("failed_" + kind);
    }

    /** Records a datagram to another instance, by its size in bytes. */
    public void recordDatagram(int bytes) {
        metrics.recordDatagram(bytes);
        count("datagrams");
        counts.merge("datagram_bytes", (long) bytes, Long::sum);
    }

    @Override
    public void onOpening(CallPurpose purpose) {
        metrics.recordConnection(purpose.label());
        count("opened_" + purpose.label());
    }

    @Override
    public void onHead(CallPurpose purpose, boolean newConnection, double seconds) {
        String connection = newConnection ? "new" : "kept";
        metrics.recordServerHead(purpose.label(), connection, seconds);
        if (purpose == CallPurpose.REQUEST) {
            count("heads_" + connection);
            if (seconds >= LATE_SECONDS) {
                count("late_heads_" + connection);
            }
        }
    }

    /** Logs the counts since the last line, if there are any, and returns the time to the next one in milliseconds. */
    public long logCounts() {
        if (!counts.isEmpty()) {
            Event event = Event.named("server_traffic");
            counts.forEach(event::with);
            event.log(log, Level.INFO);
            counts.clear();
        }
        return LOG_INTERVAL_MILLIS;
    }

    private void count(String name) {
        counts.merge(name, 1L, Long::sum);
    }
}
