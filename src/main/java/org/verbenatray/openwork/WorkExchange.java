package org.verbenatray.openwork;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.verbenatray.resilience.Crash;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;

/**
 * Sends the open work of this instance to its peers when it changes, and receives theirs.
 *
 * <p>All work is confirmed at a regular interval, which makes up for lost datagrams. Not thread-safe: all calls come
 * from one thread.
 */
public final class WorkExchange {
    /** The time for which changes are batched into one notice while all instances exchange their work. */
    private static final long BATCH_MILLIS = 2;

    private static final long CONFIRMATION_INTERVAL_MILLIS = 300;

    /** The interval where the peers are a sample of a larger fleet, so that all work is known only roughly. */
    private static final long SAMPLE_INTERVAL_MILLIS = 600;

    /** The maximum number of engines in one notice, so that it fits a packet. */
    private static final int MAX_ENGINES = 16;

    /** The maximum number of crashes in one notice, so that it fits a packet. */
    private static final int MAX_CRASHES = 8;

    /** The maximum number of prompts in one notice, so that it fits a packet; others are reported by the engines. */
    private static final int MAX_PROMPTS = 6;

    private static final Logger log = System.getLogger(WorkExchange.class.getName());

    private final String instance;

    /** A number that increases with each start of this process. */
    private final long incarnation;

    private final ExchangePeers peers;

    /** The work that the peers have reported. */
    private final RemoteWork remoteWork;

    /** Supplies the work of this instance by boot id, for engines where it is not zero. */
    private final Supplier<Map<String, EngineWork>> localWork;

    /** Returns how many milliseconds ago the engine with the given boot id last answered; empty if it never did. */
    private final Function<String, OptionalLong> answeredAgoMillis;

    /** Supplies the crashes to tell the peers, most important first. */
    private final Supplier<List<Crash>> crashesToTell;

    private final BiConsumer<InetSocketAddress, byte[]> sender;

    private final Ticker ticker;

    private final Scheduler scheduler;

    /** The boot ids of the engines whose work has changed since the last notice. */
    private final Set<String> changedEngines = new LinkedHashSet<>();

    /** The placements since the last notice. */
    private final List<PromptPlacement> placements = new ArrayList<>();

    /** The sequence number of the next notice. */
    private long sequence;

    /** True while a notice of changes is scheduled. */
    private boolean scheduled;

    private WorkExchange(
            LocalInstance self,
            ExchangePeers peers,
            RemoteWork remoteWork,
            BiConsumer<InetSocketAddress, byte[]> sender,
            Ticker ticker,
            Scheduler scheduler) {
        this.instance = self.instance();
        this.incarnation = self.incarnation();
        this.localWork = self.work();
        this.answeredAgoMillis = self.answeredAgoMillis();
        this.crashesToTell = self.crashes();
        this.peers = peers;
        this.remoteWork = remoteWork;
        this.sender = sender;
        this.ticker = ticker;
        this.scheduler = scheduler;
    }

    /** Starts an exchange, which sends its datagrams through the given sender. */
    public static WorkExchange start(
            LocalInstance self,
            ExchangePeers peers,
            RemoteWork remoteWork,
            BiConsumer<InetSocketAddress, byte[]> sender,
            Ticker ticker,
            Scheduler scheduler) {
        WorkExchange exchange = new WorkExchange(self, peers, remoteWork, sender, ticker, scheduler);
        exchange.confirm();
        return exchange;
    }

    /** Returns whether a datagram holds a notice of work. */
    public static boolean recognizes(byte[] datagram) {
        return WorkNoticeCodec.recognizes(datagram);
    }

    /**
     * Schedules a notice of the changed work at the engine with the given boot id. Where the peers are a sample of a
     * larger fleet, what the others have placed is known only roughly, and changes wait for the next confirmation: each
     * notice costs its sender and all receivers a wake-up.
     */
    public void markChanged(String bootId) {
        changedEngines.add(bootId);
        if (!scheduled && peers.sampleWeight() <= 1) {
            scheduled = true;
            scheduler.runAt(Deadline.afterMillis(ticker.nanos(), BATCH_MILLIS), this::sendChanges);
        }
    }

    /** Adds a placement to the next notice; it is dropped if the notice already has the maximum number of prompts. */
    public void addPlacement(PromptPlacement placement) {
        if (placements.size() < MAX_PROMPTS) {
            placements.add(placement);
        }
    }

    /**
     * Applies the work in a received datagram and returns its notice.
     *
     * <p>A malformed datagram is logged and dropped.
     */
    public Optional<WorkNotice> receive(byte[] datagram) {
        try {
            WorkNotice notice = WorkNoticeCodec.decode(datagram);
            remoteWork.apply(notice);
            return Optional.of(notice);
        } catch (IOException e) {
            Event.named("work_notice_malformed").with("why", e.getMessage()).log(log, Level.WARNING);
            return Optional.empty();
        }
    }

    /** Sends the work at the engines where it has changed. */
    private void sendChanges() {
        scheduled = false;
        Map<String, EngineWork> currentWork = localWork.get();
        Map<String, EngineWork> updates = new LinkedHashMap<>();
        changedEngines.forEach(bootId -> updates.put(bootId, currentWork.getOrDefault(bootId, EngineWork.NONE)));
        changedEngines.clear();
        sendAll(updates);
    }

    /**
     * Sends all work and the crashes to tell, removes the expired work of the peers and schedules the next
     * confirmation.
     */
    private void confirm() {
        Map<String, EngineWork> work = new LinkedHashMap<>(localWork.get());
        changedEngines.forEach(bootId -> work.putIfAbsent(bootId, EngineWork.NONE));
        changedEngines.clear();
        sendAll(work);
        List<Crash> crashes = crashesToTell.get();
        if (!crashes.isEmpty()) {
            send(Map.of(), crashes.subList(0, Math.min(MAX_CRASHES, crashes.size())));
        }
        remoteWork.removeExpired();
        long intervalMillis = peers.sampleWeight() <= 1 ? CONFIRMATION_INTERVAL_MILLIS : SAMPLE_INTERVAL_MILLIS;
        scheduler.runAt(Deadline.afterMillis(ticker.nanos(), intervalMillis), this::confirm);
    }

    /** Sends the work at the given engines to all peers, in as many notices as needed. */
    private void sendAll(Map<String, EngineWork> engines) {
        Map<String, EngineWork> batch = new LinkedHashMap<>();
        engines.forEach((bootId, work) -> {
            batch.put(bootId, work);
            if (batch.size() == MAX_ENGINES) {
                send(batch, List.of());
                batch.clear();
            }
        });
        if (!batch.isEmpty()) {
            send(batch, List.of());
        }
    }

    /** Sends one notice to all peers. */
    private void send(Map<String, EngineWork> engines, List<Crash> crashes) {
        byte[] datagram = WorkNoticeCodec.encode(new WorkNotice(
                instance,
                incarnation,
                sequence++,
                engines,
                answeredAgo(engines.keySet()),
                List.copyOf(placements),
                crashes));
        placements.clear();
        peers.selectedAddresses().forEach(address -> sender.accept(address, datagram));
    }

    private Map<String, Long> answeredAgo(Set<String> engines) {
        Map<String, Long> ages = new LinkedHashMap<>();
        engines.forEach(boot -> answeredAgoMillis.apply(boot).ifPresent(age -> ages.put(boot, age)));
        return ages;
    }

    /**
     * This instance as the sender of notices.
     *
     * @param instance the name of the instance
     * @param incarnation a number that increases with each start of its process
     * @param work supplies its work by the boot id of the engine, for engines where it is not zero
     * @param answeredAgoMillis returns how many milliseconds ago the engine with the given boot id last answered it
     * @param crashes supplies the crashes to tell the peers, most important first
     */
    public record LocalInstance(
            String instance,
            long incarnation,
            Supplier<Map<String, EngineWork>> work,
            Function<String, OptionalLong> answeredAgoMillis,
            Supplier<List<Crash>> crashes) {}
}
