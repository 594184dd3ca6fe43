package org.verbenatray.backends;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * Keeps the backend servers by id and the usable servers of each service, as listed in the server list.
 *
 * <p>An entry that disappears while the list is unreachable may only have expired because its server could not renew
 * it. Such a server is kept until a grace period has passed since the last failed read of the list. Not thread-safe:
 * all calls come from one thread.
 */
public final class BackendDirectory {
    /** The time that servers have to renew their entries after the list was unreachable. */
    private static final long GRACE_PERIOD_MILLIS = 2_200;

    /** The maximum number of server processes whose sequence numbers are kept. */
    private static final int MAX_SEQUENCES = 16_384;

    private static final Logger log = System.getLogger(BackendDirectory.class.getName());

    private final Ticker ticker;

    /** Called for each server process that has started after the list was first read. */
    private final Consumer<Backend> onStarted;

    /** Called for each server process that has ended. */
    private final Consumer<Backend> onEnded;

    private final Map<String, Backend> byId = new HashMap<>();

    /** The servers that accept new requests, by service. */
    private final Map<String, List<Backend>> usable = new HashMap<>();

    /** The newest sequence number by boot id, kept after the end of the server to detect late copies of its entries. */
    private final Map<String, Long> sequences = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_SEQUENCES;
        }
    };

    /** The ids whose entries disappeared during the grace period. */
    private final Set<String> pendingRemoval = new HashSet<>();

    /** The end of the grace period; null if the list was never unreachable. */
    private Deadline gracePeriodEnd;

    private boolean loaded;

    private BackendDirectory(Ticker ticker, Consumer<Backend> onStarted, Consumer<Backend> onEnded) {
        this.ticker = ticker;
        this.onStarted = onStarted;
        this.onEnded = onEnded;
    }

    /** Creates an empty directory that reports each ended server process to the given consumer. */
    public static BackendDirectory empty(Ticker ticker, Consumer<Backend> onEnded) {
        return empty(ticker, started -> {}, onEnded);
    }

    /** Creates an empty directory that reports the starts of server processes and their ends to the given consumers. */
    public static BackendDirectory empty(Ticker ticker, Consumer<Backend> onStarted, Consumer<Backend> onEnded) {
        return new BackendDirectory(ticker, onStarted, onEnded);
    }

    /** Returns true if the list was read at least once. */
    public boolean loaded() {
        return loaded;
    }

    /** Returns the servers of a service that accept new requests. */
    public List<Backend> usable(String service) {
        return usable.getOrDefault(service, List.of());
    }

    /** Returns all servers. */
    public Collection<Backend> all() {
        return List.copyOf(byId.values());
    }

    /** Records that the list could not be read, which restarts the grace period. */
    public void markListUnreachable() {
        gracePeriodEnd = Deadline.afterMillis(ticker.nanos(), GRACE_PERIOD_MILLIS);
    }

    /**
     * Applies the entries of the whole list and removes the servers that are not listed.
     *
     * @param listedIds the ids that are listed, also those whose entry names no server
     */
    public void replace(Collection<Listing> listings, Set<String> listedIds) {
        listings.forEach(this::put);
        List.copyOf(byId.keySet()).stream()
                .filter(id -> !listedIds.contains(id))
                .forEach(this::remove);
        loaded = true;
    }

    /**
     * Adds or updates an entry, unless it is older than the known one or its server has ended. Returns whether it is
     * more than a heartbeat of its server.
     */
    public boolean put(Listing listing) {
        BackendEntry entry = listing.entry();
        Backend current = byId.get(entry.id());
        if (isOutdated(listing, current)) {
            return false;
        }
        boolean wasDoubtful = pendingRemoval.remove(entry.id());
        sequences.put(entry.bootId(), listing.sequence());
        if (current == null || !current.entry().bootId().equals(entry.bootId())) {
            if (current != null) {
                end(current, "restarted");
            }
            Backend listed = Backend.of(entry);
            byId.put(entry.id(), listed);
            logChange("backend_listed", entry);
            rebuildUsable();
            if (loaded) {
                onStarted.accept(listed);
            }
            return true;
        }
        if (!current.entry().equals(entry)) {
            boolean wasLeaving = current.leaving();
            current.update(entry);
            logChange(wasLeaving == current.leaving() ? "backend_changed" : "backend_leaving", entry);
            rebuildUsable();
            return true;
        }
        return wasDoubtful;
    }

    /** Returns true if the listing is older than the known entry of its server, or belongs to an ended process. */
    private boolean isOutdated(Listing listing, Backend current) {
        if (current != null && listing.entry().startedMillis() < current.entry().startedMillis()) {
            return true;
        }
        Long lastSequence = sequences.get(listing.entry().bootId());
        boolean sameProcess = current != null
                && current.entry().bootId().equals(listing.entry().bootId());
        return lastSequence != null
                && (sameProcess ? listing.sequence() < lastSequence : listing.sequence() <= lastSequence);
    }

    /**
     * Removes the server whose entry has disappeared from the list.
     *
     * <p>During the grace period the server is only scheduled for removal, unless it is leaving.
     */
    public void remove(String id) {
        Backend current = byId.get(id);
        if (current == null) {
            return;
        }
        if (gracePeriodEnd != null && !gracePeriodEnd.hasPassed(ticker.nanos()) && !current.leaving()) {
            if (pendingRemoval.add(id)) {
                logChange("backend_doubtful", current.entry());
            }
            return;
        }
        byId.remove(id);
        end(current, "vanished");
        rebuildUsable();
    }

    /**
     * Records that the start of a server with the given boot id has said in a response that it is leaving. It stays so
     * whatever its entry says; only another start of the server is usable again. Returns whether that is news; false
     * also if the start is not listed.
     */
    public boolean markLeaving(String bootId) {
        Optional<Backend> found = findBoot(bootId).filter(backend -> !backend.announcedLeaving());
        found.ifPresent(backend -> {
            backend.recordLeaving();
            logChange("backend_says_leaving", backend.entry());
            rebuildUsable();
        });
        return found.isPresent();
    }

    /** Removes the servers whose entries were not renewed within the grace period. */
    public void removeExpired() {
        if (!pendingRemoval.isEmpty() && gracePeriodEnd.hasPassed(ticker.nanos())) {
            Set<String> expired = Set.copyOf(pendingRemoval);
            pendingRemoval.clear();
            expired.forEach(this::remove);
        }
    }

    /** Returns the server with the given id, if there is one. */
    public Optional<Backend> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Returns the server whose current start has the given boot id, if there is one. */
    public Optional<Backend> findBoot(String bootId) {
        return find(bootId.substring(0, Math.max(0, bootId.lastIndexOf('@'))))
                .filter(backend -> backend.entry().bootId().equals(bootId));
    }

    /** Marks a server as leaving, logs its end and reports it. */
    private void end(Backend backend, String why) {
        backend.markEnded();
        Event.named("backend_gone")
                .with("backend", backend.entry().id())
                .with("why", why)
                .log(log, Level.INFO);
        onEnded.accept(backend);
    }

    /** Rebuilds the lists of usable servers. */
    private void rebuildUsable() {
        usable.clear();
        for (Backend backend : byId.values()) {
            if (!backend.leaving()) {
                usable.computeIfAbsent(backend.entry().service(), service -> new ArrayList<>())
                        .add(backend);
            }
        }
    }

    private static void logChange(String event, BackendEntry entry) {
        Event.named(event)
                .with("backend", entry.id())
                .with("service", entry.service())
                .with("domain", entry.domain())
                .with("stage", entry.stage())
                .with("version", entry.softwareVersion())
                .with("start", entry.startedMillis())
                .with("leaving", entry.leaving())
                .log(log, Level.INFO);
    }

    /**
     * An entry as read from the server list.
     *
     * @param entry the entry of the server
     * @param sequence a number that increases with each entry of the same server process
     */
    public record Listing(BackendEntry entry, long sequence) {}
}
