package org.verbenatray.peers;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.verbenatray.peers.generated.SuspectReport;
import org.verbenatray.time.Deadline;

/** The reports on suspects that have not expired, for peers that link later. Not thread-safe. */
final class RecentSuspects {
    /** The largest number of reports. */
    private static final int MAX_REPORTS = 1_024;

    /** The largest size of all reports in bytes. */
    private static final long MAX_BYTES = 4L * 1_024 * 1_024;

    /** The reports by key, oldest first. */
    private final Map<String, Held> reports = new LinkedHashMap<>();

    /** Creates an empty memory. */
    private RecentSuspects() {}

    /** Returns an empty memory. */
    static RecentSuspects create() {
        return new RecentSuspects();
    }

    /** Keeps a report until it expires, in place of an earlier one with its key. */
    void add(String key, SuspectReport report, long nowNanos) {
        dropExpired(nowNanos);
        reports.remove(key);
        reports.put(key, new Held(report, Deadline.afterMillis(nowNanos, report.getRemainingMillis())));
        while (reports.size() > MAX_REPORTS || bytes() > MAX_BYTES) {
            Iterator<Held> oldest = reports.values().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Returns the reports with the time that is left of each. */
    List<SuspectReport> remaining(long nowNanos) {
        dropExpired(nowNanos);
        List<SuspectReport> remaining = new ArrayList<>();
        for (Held held : reports.values()) {
            remaining.add(held.report().toBuilder()
                    .setRemainingMillis(held.expiresAt().remainingMillis(nowNanos))
                    .build());
        }
        return remaining;
    }

    /** Returns the size of all reports in bytes. */
    private long bytes() {
        return reports.values().stream()
                .mapToLong(held -> held.report().getSerializedSize())
                .sum();
    }

    /** Drops the expired reports. */
    private void dropExpired(long nowNanos) {
        reports.values().removeIf(held -> held.expiresAt().passed(nowNanos));
    }

    /**
     * A report with its expiry.
     *
     * @param report the report
     * @param expiresAt the time after which it no longer counts
     */
    private record Held(SuspectReport report, Deadline expiresAt) {}
}
