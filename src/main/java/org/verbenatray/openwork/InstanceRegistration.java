package org.verbenatray.openwork;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.verbenatray.log.KeyedLog;
import org.verbenatray.state.KeyedFollower;
import org.verbenatray.state.RetryPacer;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;

/**
 * Registers this instance in the instance list of the log and keeps the peers of the work exchange up to date with it.
 *
 * <p>Each instance renews its entry regularly; every instance removes the entries that were not renewed in time.
 */
public final class InstanceRegistration implements KeyedFollower.Listener {
    /** The time between two reads of the list, in milliseconds; many instances that start at once end few reads. */
    public static final long MIN_READ_INTERVAL_MILLIS = 500;

    /** The time for which a read of the list waits for changes, in milliseconds. */
    public static final long READ_MILLIS = 4_000;

    private static final long RETRY_DELAY_MILLIS = 1_000;

    private static final long RENEWAL_INTERVAL_MILLIS = 60_000;

    /** The time after which an entry that was not renewed is removed; more than three renewal intervals. */
    private static final long EXPIRY_MILLIS = 200_000;

    /**
     * The longest delay before this instance is listed again after the log was restored from a copy; not all instances
     * write at once.
     */
    private static final long MAX_RELISTING_DELAY_MILLIS = 1_500;

    private static final Logger log = System.getLogger(InstanceRegistration.class.getName());

    /** The log that stores the instance list. */
    private final KeyedLog instanceList;

    /** The name of this instance, which is the key of its entry. */
    private final String self;

    /** The entry of this instance. */
    private final ListedInstance entry;

    private final ExchangePeers peers;

    /** Told of the number of listed instances. */
    private final FleetShare share;

    private final Ticker ticker;

    private final Scheduler scheduler;

    /** The expiry of the entry of each instance. */
    private final Map<String, Deadline> expiries = new HashMap<>();

    /** Follows the list, null before the start. */
    private KeyedFollower follower;

    /** True from the restoration of the log to the next listing, which may lack instances. */
    private boolean restored;

    /** True once this instance was deregistered, after which its entry is not renewed. */
    private boolean leaving;

    private InstanceRegistration(
            KeyedLog instanceList,
            String self,
            ListedInstance entry,
            ExchangePeers peers,
            FleetShare share,
            Ticker ticker,
            Scheduler scheduler) {
        this.instanceList = instanceList;
        this.self = self;
        this.entry = entry;
        this.peers = peers;
        this.share = share;
        this.ticker = ticker;
        this.scheduler = scheduler;
    }

    /** Registers an instance and starts to follow the list, whose reads instances share. */
    public static InstanceRegistration start(
            KeyedLog instanceList,
            String self,
            ListedInstance entry,
            ExchangePeers peers,
            FleetShare share,
            ListReads reads,
            Ticker ticker,
            Scheduler scheduler) {
        InstanceRegistration registration =
                new InstanceRegistration(instanceList, self, entry, peers, share, ticker, scheduler);
        registration.register();
        registration.follower = KeyedFollower.startShared(
                "instances", instanceList, registration, reads.pacer(), reads.sharing(), ticker, scheduler);
        return registration;
    }

    /** Returns the follower of the list, which takes what other instances have read. */
    public KeyedFollower follower() {
        return follower;
    }

    /** Removes this instance from the list and stops renewing its entry. */
    public void deregister() {
        leaving = true;
        removeEntry(self);
    }

    @Override
    public void onListing(List<KeyedLog.Entry> entries) {
        Map<String, ListedInstance> instances = new HashMap<>();
        entries.forEach(listed -> parse(listed).ifPresent(instance -> instances.put(listed.key(), instance)));
        if (restored) {
            restored = false;
            instances.forEach(this::keep);
        } else {
            peers.replace(instances);
            expiries.keySet().retainAll(instances.keySet());
            instances.keySet().forEach(this::extendExpiry);
        }
        recordListed();
        share.recordRead();
    }

    /** Keeps all known instances, as the listing may lack some, and writes the entry of this one again. */
    @Override
    public void onRestored() {
        restored = true;
        long delayMillis = Math.floorMod(self.hashCode(), MAX_RELISTING_DELAY_MILLIS);
        scheduler.runAt(Deadline.afterMillis(ticker.nanos(), delayMillis), this::writeAgain);
    }

    private void writeAgain() {
        if (!leaving) {
            writeEntry().exceptionally(failure -> {
                scheduler.runAt(Deadline.afterMillis(ticker.nanos(), RETRY_DELAY_MILLIS), this::writeAgain);
                return null;
            });
        }
    }

    private CompletableFuture<Void> writeEntry() {
        return instanceList.put(self, Optional.of(entry.text().getBytes(StandardCharsets.UTF_8)));
    }

    private void keep(String name, ListedInstance instance) {
        peers.put(name, instance);
        extendExpiry(name);
    }

    @Override
    public void onRecord(KeyedLog.Entry listed) {
        Optional<ListedInstance> instance = parse(listed);
        if (instance.isPresent()) {
            keep(listed.key(), instance.get());
        } else {
            peers.remove(listed.key());
            expiries.remove(listed.key());
        }
        recordListed();
    }

    @Override
    public void onCaughtUp() {
        share.recordRead();
    }

    /** Records how many instances are listed. Expired entries count until the list no longer has them. */
    private void recordListed() {
        share.recordListed(!leaving && expiries.containsKey(self) ? expiries.size() : 0);
    }

    /** Writes the entry of this instance and schedules the renewal, or the retry after a failure. */
    private void register() {
        if (leaving) {
            return;
        }
        removeExpired();
        writeEntry().whenComplete((done, failure) -> {
            long delayMillis = failure == null ? RENEWAL_INTERVAL_MILLIS : RETRY_DELAY_MILLIS;
            scheduler.runAt(Deadline.afterMillis(ticker.nanos(), delayMillis), this::register);
        });
    }

    /** Extends the expiry of an entry. */
    private void extendExpiry(String instance) {
        expiries.put(instance, Deadline.afterMillis(ticker.nanos(), EXPIRY_MILLIS));
    }

    /** Removes the other instances whose entries were not renewed in time. */
    private void removeExpired() {
        List<String> expired = expiries.entrySet().stream()
                .filter(each -> each.getValue().hasPassed(ticker.nanos())
                        && !each.getKey().equals(self))
                .map(Map.Entry::getKey)
                .toList();
        for (String instance : expired) {
            expiries.remove(instance);
            peers.remove(instance);
            removeEntry(instance);
        }
    }

    /** Removes an entry from the list; if this fails, another instance removes it when the entry expires. */
    private void removeEntry(String instance) {
        instanceList.put(instance, Optional.empty()).exceptionally(failure -> {
            Event.named("instance_not_delisted")
                    .with("instance", instance)
                    .with("why", failure.getMessage())
                    .log(log, Level.INFO);
            return null;
        });
    }

    /** Returns the instance in an entry, or empty if the entry was removed or is malformed. */
    private static Optional<ListedInstance> parse(KeyedLog.Entry listed) {
        if (listed.value().isEmpty()) {
            return Optional.empty();
        }
        String text = new String(listed.value().get(), StandardCharsets.UTF_8);
        try {
            return Optional.of(ListedInstance.parse(text));
        } catch (IllegalArgumentException e) {
            Event.named("instance_entry_malformed")
                    .with("instance", listed.key())
                    .with("value", text)
                    .log(log, Level.WARNING);
            return Optional.empty();
        }
    }

    /**
     * How the list is read.
     *
     * @param pacer paces the reads while the log does not answer
     * @param sharing shares the reads with the other instances
     */
    public record ListReads(RetryPacer pacer, KeyedFollower.ReadSharing sharing) {}
}
