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

/** Enters this instance in the list of instances that the log keeps, and learns of the others from it. */
public final class InstanceRoll implements KeyedFollower.Listener {
    /** How often the list is read: a change is told at once, a silent connection is noticed after the wait. */
    private static final KeyedFollower.Pace PACE = new KeyedFollower.Pace(500, 10_000);

    /** The wait after a failed entry in milliseconds. */
    private static final long RETRY_MILLIS = 1_000;

    /** The time between two entries of an instance in milliseconds. */
    private static final long RENEW_MILLIS = 60_000;

    /** The time in milliseconds after which an instance that has not entered itself again is taken off the list. */
    private static final long KEPT_MILLIS = 200_000;

    /** The log. */
    private static final Logger log = System.getLogger(InstanceRoll.class.getName());

    /** The log that keeps the list. */
    private final KeyedLog source;

    /** The name of this instance. */
    private final String self;

    /** The address at which it takes datagrams. */
    private final InetSocketAddress address;

    /** The others. */
    private final Neighbours neighbours;

    /** The clock. */
    private final Ticker ticker;

    /** Runs delayed tasks. */
    private final Scheduler scheduler;

    /** Until when each instance must have entered itself again. */
    private final Map<String, Deadline> due = new HashMap<>();

    /** Whether the instance is about to leave. */
    private boolean leaving;

    /** Creates a roll. */
    private InstanceRoll(
            KeyedLog source,
            String self,
            InetSocketAddress address,
            Neighbours neighbours,
            Ticker ticker,
            Scheduler scheduler) {
        this.source = source;
        this.self = self;
        this.address = address;
        this.neighbours = neighbours;
        this.ticker = ticker;
        this.scheduler = scheduler;
    }

    /** Enters an instance and starts to follow the list. */
    public static InstanceRoll start(
            KeyedLog source,
            String self,
            InetSocketAddress address,
            Neighbours neighbours,
            Ticker ticker,
            Scheduler scheduler) {
        InstanceRoll roll = new InstanceRoll(source, self, address, neighbours, ticker, scheduler);
        roll.enter();
        KeyedFollower.start("instances", source, roll, () -> PACE, ticker, scheduler);
        return roll;
    }

    /** Takes this instance off the list. */
    public void leave() {
        leaving = true;
        drop(self);
    }

    @Override
    public void replaced(List<KeyedLog.Entry> entries) {
        Map<String, InetSocketAddress> instances = new HashMap<>();
        entries.forEach(entry -> addressOf(entry).ifPresent(at -> instances.put(entry.key(), at)));
        neighbours.replace(instances);
        due.keySet().retainAll(instances.keySet());
        instances.keySet().forEach(this::entered);
    }

    @Override
    public void changed(KeyedLog.Entry entry) {
        Optional<InetSocketAddress> at = addressOf(entry);
        if (at.isPresent()) {
            neighbours.put(entry.key(), at.get());
            entered(entry.key());
        } else {
            neighbours.remove(entry.key());
            due.remove(entry.key());
        }
    }

    /** Writes the address of this instance, again after a while or, sooner, after a failure. */
    private void enter() {
        if (leaving) {
            return;
        }
        dropLate();
        String text = address.getHostString() + ":" + address.getPort();
        source.put(self, Optional.of(text.getBytes(StandardCharsets.UTF_8))).whenComplete((done, failure) -> {
            long wait = failure == null ? RENEW_MILLIS : RETRY_MILLIS;
            scheduler.runAt(Deadline.afterMillis(ticker.nanos(), wait), this::enter);
        });
    }

    /** Notes that an instance has entered itself. */
    private void entered(String instance) {
        due.put(instance, Deadline.afterMillis(ticker.nanos(), KEPT_MILLIS));
    }

    /** Takes those off the list that have not entered themselves again in time. */
    private void dropLate() {
        List<String> late = due.entrySet().stream()
                .filter(each ->
                        each.getValue().passed(ticker.nanos()) && !each.getKey().equals(self))
                .map(Map.Entry::getKey)
                .toList();
        for (String instance : late) {
            due.remove(instance);
            neighbours.remove(instance);
            drop(instance);
        }
    }

    /** Drops an instance from the list; one that is missed there is dropped by the next to notice. */
    private void drop(String instance) {
        source.put(instance, Optional.empty()).exceptionally(failure -> {
            Event.named("instance_not_delisted")
                    .with("instance", instance)
                    .with("why", failure.getMessage())
                    .log(log, Level.INFO);
            return null;
        });
    }

    /** Returns the address in an entry; empty where it was dropped or is malformed. */
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
