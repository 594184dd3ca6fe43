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
 * The backend servers by their ids; used on one thread.
 *
 * <p>An entry that vanishes while the list was unreachable may only have lapsed with it: such a server is kept until
 * a settling time has passed since the list is back.
 */
public final class BackendDirectory {
    /** The time in milliseconds that servers have to list themselves again after the list was unreachable. */
    private static final long SETTLING_MILLIS = 2_200;

    /** The largest number of starts of servers whose sequence numbers are kept. */
    private static final int MAX_SEQUENCES = 16_384;

    /** The log. */
    private static final Logger log = System.getLogger(BackendDirectory.class.getName());

    /** The clock. */
    private final Ticker ticker;

    /** Hears of each start of a server that has ended. */
    private final Consumer<Backend> onEnded;

    /** The servers by id. */
    private final Map<String, Backend> byId = new HashMap<>();

    /** The servers that take requests, by service. */
    private final Map<String, List<Backend>> usable = new HashMap<>();

    /** The newest sequence number by start of a server, kept after its end against late copies of its entries. */
    private final Map<String, Long> sequences = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_SEQUENCES;
        }
    };

    /** The ids whose entries vanished while the list was unreachable. */
    private final Set<String> doubtful = new HashSet<>();

    /** Until when vanished entries are kept, null while the list was never unreachable. */
    private Deadline settledAt;

    /** Whether the list was read once. */
    private boolean known;

    /** Creates an empty directory. */
    private BackendDirectory(Ticker ticker, Consumer<Backend> onEnded) {
        this.ticker = ticker;
        this.onEnded = onEnded;
    }

    /** Returns an empty directory that reports ended servers to the given consumer. */
    public static BackendDirectory empty(Ticker ticker, Consumer<Backend> onEnded) {
        return new BackendDirectory(ticker, onEnded);
    }

    /** Returns whether the list was read at least once. */
    public boolean known() {
        return known;
    }

    /** Returns the servers of a service that take requests. */
    public List<Backend> usable(String service) {
        return usable.getOrDefault(service, List.of());
    }

    /** Returns all servers. */
    public Collection<Backend> all() {
        return List.copyOf(byId.values());
    }

    /** Notes that the list could not be read just now. */
    public void listUnreachable() {
        settledAt = Deadline.afterMillis(ticker.nanos(), SETTLING_MILLIS);
    }

    /** Takes the whole list; servers that it doesn't name are gone. */
    public void replace(Collection<Listing> listings) {
        Set<String> listed = new HashSet<>();
        listings.forEach(listing -> {
            listed.add(listing.entry().id());
            put(listing);
        });
        List.copyOf(byId.keySet()).stream().filter(id -> !listed.contains(id)).forEach(this::vanished);
        known = true;
    }

    /** Takes one entry, unless a newer one was seen or its server has ended. */
    public void put(Listing listing) {
        BackendEntry entry = listing.entry();
        Backend present = byId.get(entry.id());
        if (isOutdated(listing, present)) {
            return;
        }
        doubtful.remove(entry.id());
        sequences.put(entry.boot(), listing.sequence());
        if (present == null || !present.entry().boot().equals(entry.boot())) {
            if (present != null) {
                ended(present, "restarted");
            }
            byId.put(entry.id(), Backend.of(entry));
            tell("backend_listed", entry);
            index();
            return;
        }
        if (!present.entry().equals(entry)) {
            boolean wasLeaving = present.leaving();
            present.update(entry);
            tell(wasLeaving == present.leaving() ? "backend_changed" : "backend_leaving", entry);
            index();
        }
    }

    /** Returns whether a listing is older than what is known of its server. */
    private boolean isOutdated(Listing listing, Backend present) {
        if (present != null && listing.entry().bornMillis() < present.entry().bornMillis()) {
            return true;
        }
        Long known = sequences.get(listing.entry().boot());
        boolean listed =
                present != null && present.entry().boot().equals(listing.entry().boot());
        return known != null && (listed ? listing.sequence() < known : listing.sequence() <= known);
    }

    /** Takes the news that an entry vanished. */
    public void vanished(String id) {
        Backend present = byId.get(id);
        if (present == null) {
            return;
        }
        if (settledAt != null && !settledAt.passed(ticker.nanos()) && !present.leaving()) {
            if (doubtful.add(id)) {
                tell("backend_doubtful", present.entry());
            }
            return;
        }
        byId.remove(id);
        ended(present, "vanished");
        index();
    }

    /** Drops the doubtful entries whose time to come back is over. */
    public void settle() {
        if (!doubtful.isEmpty() && settledAt.passed(ticker.nanos())) {
            Set<String> gone = Set.copyOf(doubtful);
            doubtful.clear();
            gone.forEach(this::vanished);
        }
    }

    /** Returns a server by its id. */
    public Optional<Backend> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Marks a server as ended. */
    private void ended(Backend backend, String why) {
        backend.markLeaving();
        Event.named("backend_gone")
                .with("backend", backend.entry().id())
                .with("why", why)
                .log(log, Level.INFO);
        onEnded.accept(backend);
    }

    /** Orders the servers that take requests by service. */
    private void index() {
        usable.clear();
        for (Backend backend : byId.values()) {
            if (!backend.leaving()) {
                usable.computeIfAbsent(backend.entry().service(), service -> new ArrayList<>())
                        .add(backend);
            }
        }
    }

    /** Logs a change of an entry. */
    private static void tell(String event, BackendEntry entry) {
        Event.named(event)
                .with("backend", entry.id())
                .with("service", entry.service())
                .with("domain", entry.domain())
                .with("stage", entry.stage())
                .with("leaving", entry.leaving())
                .log(log, Level.INFO);
    }

    /**
     * An entry of the list.
     *
     * @param entry what the server states
     * @param sequence a number that grows with each statement of one start of the server
     */
    public record Listing(BackendEntry entry, long sequence) {}
}
