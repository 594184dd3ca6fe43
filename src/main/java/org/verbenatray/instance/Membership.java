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

/** Announces this instance to the platform and follows the platform's instance list. */
final class Membership {
    /** The logger. */
    private static final Logger log = System.getLogger(Membership.class.getName());

    /** The pause between two reads of the list in milliseconds. */
    private static final long PAUSE_MILLIS = 1_000;

    /** The platform's list. */
    private final HttpInstanceList list;

    /** What this instance announces. */
    private final Supplier<InstanceEntry> self;

    /** The sources of time. */
    private final Timing timing;

    /** Receives each list. */
    private final List<Consumer<List<InstanceEntry>>> listeners = new CopyOnWriteArrayList<>();

    /** The last list, empty before the first. */
    private volatile Optional<List<InstanceEntry>> last = Optional.empty();

    /** The ids of the instances that any list showed. */
    private final Set<String> seen = ConcurrentHashMap.newKeySet();

    /** Whether the last read failed. */
    private volatile boolean failing;

    /** Creates a membership. */
    Membership(HttpInstanceList list, Supplier<InstanceEntry> self, Timing timing) {
        this.list = list;
        this.self = self;
        this.timing = timing;
    }

    /** Adds a receiver of each list. */
    void onList(Consumer<List<InstanceEntry>> listener) {
        listeners.add(listener);
    }

    /** Announces and reads now and again after each pause. */
    void start() {
        list.announce(self.get()).exceptionally(failure -> null);
        list.list().whenComplete(this::received);
        timing.scheduler().runAt(timing.inMillis(PAUSE_MILLIS), this::start);
    }

    /** Announces a change of this instance at once. */
    void announceNow() {
        list.announce(self.get()).exceptionally(failure -> null);
    }

    /** Tells the platform that this instance is about to end. */
    void withdraw() {
        list.withdraw(self.get()).exceptionally(failure -> null).join();
    }

    /** Returns the last list. */
    List<InstanceEntry> entries() {
        return last.orElse(List.of());
    }

    /** Returns the ids of the live entry instances of a failure domain. */
    List<String> liveIn(String failureDomain) {
        return entries().stream()
                .filter(entry -> entry.kind() == InstanceEntry.Kind.ENTRY && !entry.leaving())
                .filter(entry -> entry.failureDomain().equals(failureDomain))
                .map(InstanceEntry::id)
                .toList();
    }

    /**
     * Returns whether the list showed an instance earlier and shows it no longer.
     *
     * <p>A list that does not show this instance itself proves nothing.
     */
    boolean isGone(String id) {
        List<String> present = entries().stream().map(InstanceEntry::id).toList();
        return seen.contains(id) && present.contains(self.get().id()) && !present.contains(id);
    }

    /** Returns the number of live entry instances, at least one. */
    int liveInstances() {
        long live = entries().stream()
                .filter(entry -> entry.kind() == InstanceEntry.Kind.ENTRY && !entry.leaving())
                .count();
        return (int) Math.max(1, live);
    }

    /** Takes a list, or notes that it cannot be read. */
    private void received(List<InstanceEntry> entries, Throwable failure) {
        if (failure != null) {
            if (!failing) {
                Event.named("instance_list_unavailable")
                        .with("cause", failure.getMessage())
                        .log(log, Level.WARNING);
            }
            failing = true;
            return;
        }
        failing = false;
        last = Optional.of(entries);
        entries.forEach(entry -> seen.add(entry.id()));
        listeners.forEach(listener -> listener.accept(entries));
    }
}
