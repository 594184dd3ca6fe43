package org.verbenatray.instance;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.verbenatray.fleet.InstanceEntry;
import org.verbenatray.servers.HttpInstanceList;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Timing;

/** Registers this instance with the platform and polls the platform's instance list. Thread-safe. */
final class Membership {
    private static final Logger log = System.getLogger(Membership.class.getName());

    private static final long POLL_INTERVAL_MILLIS = 1_000;

    private final HttpInstanceList list;

    private final Supplier<InstanceEntry> self;

    private final Timing timing;

    private final List<Consumer<List<InstanceEntry>>> listeners = new CopyOnWriteArrayList<>();

    /** The latest list, empty before the first read. */
    private volatile Optional<List<InstanceEntry>> latest = Optional.empty();

    /** The ids of all instances that any list has contained. */
    private final Set<String> seenIds = ConcurrentHashMap.newKeySet();

    private volatile boolean lastReadFailed;

    Membership(HttpInstanceList list, Supplier<InstanceEntry> self, Timing timing) {
        this.list = list;
        this.self = self;
        this.timing = timing;
    }

    /** Adds a listener for each list that is read. */
    void addListener(Consumer<List<InstanceEntry>> listener) {
        listeners.add(listener);
    }

    /** Announces this instance and reads the list now, and schedules the next round. */
    void start() {
        list.announce(self.get()).exceptionally(failure -> null);
        list.list().whenComplete(this::onListRead);
        timing.scheduler().runAt(timing.deadlineAfterMillis(POLL_INTERVAL_MILLIS), this::start);
    }

    /** Announces a change of this instance without waiting for the next round. */
    void announceNow() {
        list.announce(self.get()).exceptionally(failure -> null);
    }

    /** Removes this instance from the list, blocking until the platform responds; a failure is ignored. */
    void deregister() {
        list.withdraw(self.get()).exceptionally(failure -> null).join();
    }

    /** Returns the latest list, empty before the first read. */
    List<InstanceEntry> entries() {
        return latest.orElse(List.of());
    }

    /** Returns the ids of the entry instances of a failure domain that are not leaving. */
    List<String> liveInstancesIn(String failureDomain) {
        return entries().stream()
                .filter(entry -> entry.kind() == InstanceEntry.Kind.ENTRY && !entry.leaving())
                .filter(entry -> entry.failureDomain().equals(failureDomain))
                .map(InstanceEntry::id)
                .toList();
    }

    /**
     * Returns whether an instance was on an earlier list and is missing from the latest one.
     *
     * <p>A list without this instance itself is incomplete and proves nothing.
     */
    boolean isRemovedFromList(String id) {
        List<String> present = entries().stream().map(InstanceEntry::id).toList();
        return seenIds.contains(id) && present.contains(self.get().id()) && !present.contains(id);
    }

    /** Returns the number of entry instances that are not leaving, at least one. */
    int liveInstanceCount() {
        long live = entries().stream()
                .filter(entry -> entry.kind() == InstanceEntry.Kind.ENTRY && !entry.leaving())
                .count();
        return (int) Math.max(1, live);
    }

    /** Passes a list to the listeners, or records that it cannot be read; logs only the first failure in a row. */
    private void onListRead(List<InstanceEntry> entries, Throwable failure) {
        if (failure != null) {
            if (!lastReadFailed) {
                Event.named("instance_list_unavailable")
                        .with("cause", failure.getMessage())
                        .log(log, Level.WARNING);
            }
            lastReadFailed = true;
            return;
        }
        lastReadFailed = false;
        latest = Optional.of(entries);
        entries.forEach(entry -> seenIds.add(entry.id()));
        listeners.forEach(listener -> listener.accept(entries));
    }
}
