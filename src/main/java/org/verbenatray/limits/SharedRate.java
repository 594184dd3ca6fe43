package org.verbenatray.limits;

import java.util.HashMap;
import java.util.Map;

/**
 * The limit of one server as this instance may use it: a leaky bucket that the requests of all sharers fill.
 *
 * <p>The sharers report to one another how many requests they have sent. For the time since its last report, a sharer
 * is taken to use an equal part of the rate; so the parts add up to the rate whatever notices are lost. Used on one
 * thread.
 */
final class SharedRate {
    /** The least rate used, so that the end of a limit of zero is found: one request in ten seconds. */
    private static final double MIN_REQUESTS_PER_SECOND = 0.1;

    /** Requests that may be sent at once whatever the limit is. */
    private static final double BURST_REQUESTS = 2;

    /** Time in seconds whose requests may be sent at once beyond that. */
    private static final double BURST_SECONDS = 0.5;

    /** The last report of each other sharer, by name. */
    private final Map<String, SharerReport> reports = new HashMap<>();

    private double requestsPerSecond;

    private LimitSharers sharers;

    /** The requests in the bucket at the time of the last update. */
    private double level;

    /** The time of the last update, in nanoseconds of the ticker. */
    private long updatedNanos;

    /** The requests that this instance has sent. */
    private long sent;

    /** Creates the bucket of a server, which is full: the server has just shown that it gets too much. */
    SharedRate(double requestsPerSecond, LimitSharers sharers, long nowNanos) {
        this.requestsPerSecond = Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond);
        this.updatedNanos = nowNanos;
        this.level = capacity();
        setSharers(sharers, nowNanos);
    }

    /** Sets the limit in requests a second. */
    void setRequestsPerSecond(double newRate, long nowNanos) {
        drain(nowNanos);
        requestsPerSecond = Math.max(MIN_REQUESTS_PER_SECOND, newRate);
        level = Math.min(level, capacity());
    }

    /** Sets the instances that share the rate. */
    void setSharers(LimitSharers newSharers, long nowNanos) {
        drain(nowNanos);
        sharers = newSharers;
        reports.keySet().retainAll(newSharers.others().keySet());
        newSharers.others().keySet().forEach(name -> reports.computeIfAbsent(name, key -> new SharerReport(nowNanos)));
    }

    /** Returns the instances that share the rate. */
    LimitSharers sharers() {
        return sharers;
    }

    /** Returns the number of requests that this instance has sent. */
    long sent() {
        return sent;
    }

    /** Returns whether a request may be sent now. */
    boolean admits(long nowNanos) {
        drain(nowNanos);
        return sharers.self() && level + 1 <= capacity();
    }

    /** Returns the time in milliseconds until a request may be sent if the other sharers use their parts. */
    long millisUntilAdmission(long nowNanos) {
        drain(nowNanos);
        return (long) Math.ceil(Math.max(0, 1_000 * (level + 1 - capacity()) / part()));
    }

    /** Returns the part of the rate that this instance may expect to use, in requests a second. */
    double expectedRate() {
        return sharers.self() ? part() : 0;
    }

    /** Records a request that this instance sends. */
    void recordSending(long nowNanos) {
        drain(nowNanos);
        sent++;
        level++;
    }

    /** Records how many requests another sharer has sent in all, as it reports; older reports change nothing. */
    void recordReport(String instance, long incarnation, long total, long nowNanos) {
        SharerReport report = reports.get(instance);
        if (report == null || incarnation < report.incarnation) {
            return;
        }
        drain(nowNanos);
        if (incarnation > report.incarnation) {
            report.incarnation = incarnation;
            report.total = Math.max(0, total - 1);
        }
        if (total >= report.total) {
            double assumed = part() * (nowNanos - report.reportedNanos) / 1e9;
            level = Math.max(0, level - assumed) + total - report.total;
            report.total = total;
            report.reportedNanos = nowNanos;
        }
    }

    /** Returns the number of requests that fit into the empty bucket. */
    private double capacity() {
        return BURST_REQUESTS + BURST_SECONDS * requestsPerSecond;
    }

    /** Drains the part of this instance; the parts of the others are drained when they report what they have used. */
    private void drain(long nowNanos) {
        level = Math.max(0, level - part() * (nowNanos - updatedNanos) / 1e9);
        updatedNanos = nowNanos;
    }

    /** Returns the equal part of each sharer, in requests a second. */
    private double part() {
        return sharers == null ? 0 : requestsPerSecond / Math.max(1, sharers.count());
    }

    /** The last report of another sharer. */
    private static final class SharerReport {
        /** The start of its process that reported last; -1 before the first report. */
        private long incarnation;

        /** The requests that it has sent. */
        private long total;

        /** When it last reported, in nanoseconds of the ticker. */
        private long reportedNanos;

        SharerReport(long nowNanos) {
            this.incarnation = -1;
            this.reportedNanos = nowNanos;
        }
    }
}
