package org.verbenatray.faults;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.verbenatray.configuration.ActiveConfiguration;
import org.verbenatray.instance.EntryInstance;
import org.verbenatray.log.Verdict;

/**
 * Checks that no instance reverts to an earlier configuration and that all instances converge. Safe for concurrent use.
 */
final class ConfigurationMonitor {
    /** The configuration of each instance at the last check. */
    private final Map<EntryInstance, ActiveConfiguration> lastSeen = new ConcurrentHashMap<>();

    /** The highest offset of an accepted change; -1 before the first. */
    private final AtomicLong latestAcceptedOffset = new AtomicLong(-1);

    private final Violations violations;

    private ConfigurationMonitor(Violations violations) {
        this.violations = violations;
    }

    /** Returns a monitor that reports to the given collection. */
    static ConfigurationMonitor create(Violations violations) {
        return new ConfigurationMonitor(violations);
    }

    /** Records the verdict on a published change. */
    void recordVerdict(Verdict verdict) {
        if (verdict.isAccepted()) {
            latestAcceptedOffset.accumulateAndGet(verdict.offset(), Math::max);
        }
    }

    /** Adds a violation for each instance whose configuration is older than at the last check. */
    void check(List<EntryInstance> liveInstances) {
        for (EntryInstance instance : liveInstances) {
            ActiveConfiguration current = instance.activeConfiguration();
            ActiveConfiguration previous = lastSeen.put(instance, current);
            violations.addUnless(
                    previous == null || current.offset() >= previous.offset(),
                    "a configuration went back from offset " + (previous == null ? -1 : previous.offset()) + " to "
                            + current.offset());
        }
    }

    /** Returns whether all instances have the same configuration and it includes the latest accepted change. */
    boolean hasConverged(List<EntryInstance> liveInstances) {
        long hashes = liveInstances.stream()
                .map(instance -> instance.activeConfiguration().hash())
                .distinct()
                .count();
        return hashes <= 1
                && liveInstances.stream()
                        .allMatch(instance -> instance.activeConfiguration().offset() >= latestAcceptedOffset.get());
    }

    /** Returns the highest offset of an accepted change; -1 before the first. */
    long latestAcceptedOffset() {
        return latestAcceptedOffset.get();
    }
}
