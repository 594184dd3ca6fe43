package org.verbenatray.peers;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.verbenatray.peers.generated.SuspectReport;
import org.verbenatray.time.Deadline;

/** The suspect reports that have not expired, kept for peers that connect later. Not thread-safe. */
final class RecentSuspects {
    private static final int MAX_REPORTS = 1_024;

    private static final long MAX_BYTES = 4L * 1_024 * 1_024;

    /** The reports by key, oldest first. */
    private final Map<String, ExpiringReport> reports = new LinkedHashMap<>();

    private RecentSuspects() {}

    /** Returns an empty collection. */
    static RecentSuspects create() {
        return new RecentSuspects();
    }

    /**
     * Adds a report until it expires, replacing an earlier one with its key. The oldest reports are evicted at the
     * limits.
     */
    void add(String key, SuspectReport report, long nowNanos) {
        removeExpired(nowNanos);
        reports.remove(key);
        reports.put(key, new ExpiringReport(report, Deadline.afterMillis(nowNanos, report.getRemainingMillis())));
        while (reports.size() > MAX_REPORTS || totalBytes() > MAX_BYTES) {
            Iterator<ExpiringReport> oldest = reports.values().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Returns the unexpired reports, each with its remaining time. */
    List<SuspectReport> unexpiredReports(long nowNanos) {
        removeExpired(nowNanos);
        List<SuspectReport> remaining = new ArrayList<>();
        for (ExpiringReport expiring : reports.values()) {
            remaining.add(expiring.report().toBuilder()
                    .setRemainingMillis(expiring.expiresAt().remainingMillis(nowNanos))
                    .build());
        }
        return remaining;
    }

    private long totalBytes() {
        return reports.values().stream()
                .mapToLong(expiring -> expiring.report().getSerializedSize())
                .sum();
    }

    private void removeExpired(long nowNanos) {
        reports.values().removeIf(expiring -> expiring.expiresAt().hasPassed(nowNanos));
    }

    /**
     * A report with its expiry.
     *
     * @param report the report
     * @param expiresAt the time after which it is removed
     */
    private record ExpiringReport(SuspectReport report, Deadline expiresAt) {}
}
