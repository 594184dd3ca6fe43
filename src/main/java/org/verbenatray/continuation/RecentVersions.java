package org.verbenatray.continuation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendDirectory;
import org.verbenatray.backends.BackendEntry;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * The software versions that each service has run recently, as far as this instance has seen.
 *
 * <p>Not thread-safe: all calls come from one thread.
 */
public final class RecentVersions {
    private final BackendDirectory directory;
    private final Ticker ticker;

    /** The time for which a read of the list of servers counts as current, in milliseconds. */
    private final long currentMillis;

    /** Until when the version of an ended server counts as recent. */
    private final Map<ServiceVersion, Deadline> ended = new HashMap<>();

    /** From when the list has been watched for as long as a stream may last, null before the first read. */
    private Deadline watchedLongEnough;

    /** Until when the last read of the list counts as current, null before the first read. */
    private Deadline listCurrentUntil;

    private RecentVersions(BackendDirectory directory, Ticker ticker, long currentMillis) {
        this.directory = directory;
        this.ticker = ticker;
        this.currentMillis = currentMillis;
    }

    /**
     * Creates an object that has seen nothing yet.
     *
     * @param directory the servers
     * @param ticker the clock
     * @param currentMillis the time for which a read of the list of servers counts as current, in milliseconds
     */
    public static RecentVersions create(BackendDirectory directory, Ticker ticker, long currentMillis) {
        return new RecentVersions(directory, ticker, currentMillis);
    }

    /** Records that the list of servers was read to its end. */
    public void recordListRead() {
        long now = ticker.nanos();
        if (watchedLongEnough == null) {
            watchedLongEnough = Deadline.afterMillis(now, StreamOrigins.KEEP_MILLIS);
        }
        listCurrentUntil = Deadline.afterMillis(now, currentMillis);
    }

    /** Records that a server has ended. */
    public void recordEnded(Backend backend) {
        long now = ticker.nanos();
        ended.values().removeIf(until -> until.hasPassed(now));
        ended.put(ServiceVersion.of(backend.entry()), Deadline.afterMillis(now, StreamOrigins.KEEP_MILLIS));
    }

    /**
     * Returns the version that every stream of a service had if it can still be continued; empty if the service has
     * run several versions, or if this instance has not watched the servers for long enough to know.
     */
    Optional<String> soleVersion(String service) {
        long now = ticker.nanos();
        if (watchedLongEnough == null || !watchedLongEnough.hasPassed(now) || listCurrentUntil.hasPassed(now)) {
            return Optional.empty();
        }
        Set<String> versions = versions(service, now);
        return versions.size() == 1 ? Optional.of(versions.iterator().next()) : Optional.empty();
    }

    private Set<String> versions(String service, long now) {
        Set<String> versions = new HashSet<>();
        for (Backend backend : directory.all()) {
            if (backend.entry().service().equals(service)) {
                versions.add(backend.entry().softwareVersion());
            }
        }
        ended.forEach((known, until) -> {
            if (known.service().equals(service) && !until.hasPassed(now)) {
                versions.add(known.version());
            }
        });
        return versions;
    }

    /**
     * A software version of a service.
     *
     * @param service the service
     * @param version the version
     */
    private record ServiceVersion(String service, String version) {
        static ServiceVersion of(BackendEntry entry) {
            return new ServiceVersion(entry.service(), entry.softwareVersion());
        }
    }
}
