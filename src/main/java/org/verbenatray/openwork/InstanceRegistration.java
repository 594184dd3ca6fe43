package org.verbenatray.openwork;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.verbenatray.log.KeyedLog;
import org.verbenatray.state.KeyedFollower;
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
    /** Changes are delivered at once; the long-poll wait bounds the time to detect a dead connection. */
    private static final KeyedFollower.PollTiming POLL_TIMING = new KeyedFollower.PollTiming(500, 10_000);

    private static final long RETRY_DELAY_MILLIS = 1_000;

    private static final long RENEWAL_INTERVAL_MILLIS = 60_000;

    /** The time after which an entry that was not renewed is removed; more than three renewal intervals. */
    private static final long EXPIRY_MILLIS = 200_000;

    private static final Logger log = System.getLogger(InstanceRegistration.class.getName());

    /** The log that stores the instance list. */
    private final KeyedLog instanceList;

    /** The name of this instance, which is the key of its entry. */
    private final String self;

    /** The address at which this instance receives datagrams. */
    private final InetSocketAddress address;

    private final ExchangePeers peers;

    /** Told of the number of listed instances. */
    private final FleetShare share;

    private final Ticker ticker;

    private final Scheduler scheduler;

    /** The expiry of the entry of each instance. */
    private final Map<String, Deadline> expiries = new HashMap<>();

    /** True once this instance was deregistered, after which its entry is not renewed. */
    private boolean leaving;

    private InstanceRegistration(
            KeyedLog instanceList,
            String self,
            InetSocketAddress address,
            ExchangePeers peers,
            FleetShare share,
            Ticker ticker,
            Scheduler scheduler) {
        this.instanceList = instanceList;
        this.self = self;
        this.address = address;
        this.peers = peers;
        this.share = share;
        this.ticker = ticker;
        this.scheduler = scheduler;
    }

    /** Registers an instance and starts to follow the list. */
    public static InstanceRegistration start(
            KeyedLog instanceList,
            String self,
            InetSocketAddress address,
            ExchangePeers peers,
            FleetShare share,
            Ticker ticker,
            Scheduler scheduler) {
        InstanceRegistration registration =
                new InstanceRegistration(instanceList, self, address, peers, share, ticker, scheduler);
        registration.register();
        KeyedFollower.start("instances", instanceList, registration, () -> POLL_TIMING, ticker, scheduler);
        return registration;
    }

    /** Removes this instance from the list and stops renewing its entry. */
    public void deregister() {
        leaving = true;
        removeEntry(self);
    }

    @Override
    public void onListing(List<KeyedLog.Entry> entries) {
        Map<String, InetSocketAddress> instances = new HashMap<>();
        entries.forEach(entry -> addressOf(entry).ifPresent(at -> instances.put(entry.key(), at)));
        peers.replace(instances);
        expiries.keySet().retainAll(instances.keySet());
        instances.keySet().forEach(this::extendExpiry);
        recordListed();
        share.recordRead();
    }

    @Override
    public void onRecord(KeyedLog.Entry entry) {
        Optional<InetSocketAddress> at = addressOf(entry);
        if (at.isPresent()) {
            peers.put(entry.key(), at.get());
            extendExpiry(entry.key());
        } else {
            peers.remove(entry.key());
            expiries.remove(entry.key());
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
        String text = address.getHostString() + ":" + address.getPort();
        instanceList
                .put(self, Optional.of(text.getBytes(StandardCharsets.UTF_8)))
                .whenComplete((done, failure) -> {
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

    /** Returns the address in an entry, or empty if the entry was removed or is malformed. */
    private static Optional<InetSocketAddress> addressOf(KeyedLog.Entry entry) {
        if (entry.value().isEmpty()) {
            return Optional.empty();
        }
        String text = new String(entry.value().get(), StandardCharsets.UTF_8);
        int colon = text.lastIndexOf(':');
        try {
            return Optional.of(new InetSocketAddress(
                    text.substring(0, Math.max(0, colon)), Integer.parseInt(text.substring(colon + 1))));
        } catch (IllegalArgumentException e) {
            Event.named("instance_entry_malformed")
                    .with("instance", entry.key())
                    .with("value", text)
                    .log(log, Level.WARNING);
            return Optional.empty();
        }
    }
}
