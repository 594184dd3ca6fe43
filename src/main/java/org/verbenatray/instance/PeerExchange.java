package org.verbenatray.instance;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.verbenatray.fleet.FleetView;
import org.verbenatray.fleet.InstanceEntry;
import org.verbenatray.log.RecordBody.Snapshot;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.log.StoredRecord;
import org.verbenatray.peers.LinkPlan;
import org.verbenatray.peers.LinkPlan.PlannedLinks;
import org.verbenatray.peers.PeerAddress;
import org.verbenatray.peers.PeerHandlers;
import org.verbenatray.peers.PeerIdentity;
import org.verbenatray.peers.PeerLinks;
import org.verbenatray.peers.PeerSettings;
import org.verbenatray.peers.PeerSnapshot;
import org.verbenatray.peers.PeerView;
import org.verbenatray.peers.generated.EngineLoad;
import org.verbenatray.peers.generated.StateRequest;
import org.verbenatray.peers.generated.SuspectReport;
import org.verbenatray.peers.generated.SuspectState;
import org.verbenatray.serving.SuspectGuard;
import org.verbenatray.suspects.SuspectDigest;
import org.verbenatray.suspects.SuspectEntry;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Timing;

/**
 * Exchanges load, suspect requests and log records with the peers of this instance. A peer that cannot reach the
 * platform gets the records that it lacks from here.
 */
final class PeerExchange implements AutoCloseable {
    private static final Logger log = System.getLogger(PeerExchange.class.getName());

    /** The time between two exchanges in milliseconds. */
    private static final long EXCHANGE_INTERVAL_MILLIS = 500;

    /** One in this many exchanges sends all totals, for peers that connected lately. */
    private static final int EXCHANGES_PER_FULL_EXCHANGE = 8;

    /** The age of the last read of the log after which peers are asked for records, in milliseconds. */
    private static final long MAX_READ_AGE_MILLIS = 2_500;

    /** The lifetime of a report on a suspect request, in milliseconds. */
    private static final long SUSPECT_TTL_MILLIS = 600_000;

    private final PeerIdentity self;

    private final LogParts logParts;

    private final FleetView fleet;

    private final SuspectGuard suspects;

    private final Timing timing;

    private final LoadExchange loadExchange;

    private final PeerRecordBuffer recordBuffer = new PeerRecordBuffer();

    private final PeerLinks links;

    /** The number of exchanges so far; used on the scheduler's thread only. */
    private int exchanges;

    private final LogOutageDetector logOutageDetector;

    /** Starts listening for peers without connecting to any. */
    PeerExchange(
            PeerIdentity self,
            InetSocketAddress listen,
            LogParts logParts,
            FleetView fleet,
            SuspectGuard suspects,
            Timing timing) {
        this.self = self;
        this.logParts = logParts;
        this.fleet = fleet;
        this.suspects = suspects;
        this.timing = timing;
        this.loadExchange = new LoadExchange(fleet);
        this.logOutageDetector = LogOutageDetector.startingAt(timing.ticker().nanos());
        this.links = PeerLinks.start(
                PeerSettings.defaults(self, listen.getHostString(), listen.getPort()),
                handlers(),
                () -> logParts.fold().position() - 1,
                timing.ticker(),
                timing.clock());
    }

    /** Starts the exchange, connecting to the given addresses until an instance list is read. */
    void start(List<InetSocketAddress> knownPeers) {
        logParts.follower().onApplied(applied -> recordBuffer.add(applied.stored()));
        suspects.setChangeListener(this::sendSuspects);
        List<PeerAddress> seeds = knownPeers.stream()
                .map(address -> new PeerAddress(
                        "known:" + address.getHostString() + ":" + address.getPort(),
                        self.failureDomain(),
                        address.getHostString(),
                        address.getPort()))
                .toList();
        if (!seeds.isEmpty()) {
            links.applyPlan(new PlannedLinks(seeds, false));
        }
        exchange();
    }

    /** Connects to the peers that the link plan derives from an instance list. */
    void onInstanceList(List<InstanceEntry> entries) {
        List<PeerAddress> addresses = new ArrayList<>();
        entries.stream()
                .filter(entry -> entry.kind() == InstanceEntry.Kind.ENTRY)
                .forEach(entry -> addressOf(entry).ifPresent(addresses::add));
        links.applyPlan(LinkPlan.of(addresses).linksOf(self));
    }

    /** Returns the port on which peers connect. */
    int port() {
        return links.port();
    }

    /** Returns the peers that have sent anything so far, whether reachable now or not. */
    List<PeerView> peers() {
        return links.peers();
    }

    /** Notifies the peers that this instance is leaving. */
    void announceLeaving() {
        links.sendLeaving();
    }

    @Override
    public void close() {
        links.close();
    }

    /** Returns the handlers of messages from peers. */
    private PeerHandlers handlers() {
        return PeerHandlers.create()
                .onLoad((from, delta) ->
                        loadExchange.onPeerTotals(delta, timing.ticker().nanos()))
                .onDigest((from, digest) -> fleet.onDomainDigest(
                        PeerMessages.digestFromMessage(digest), timing.ticker().nanos()))
                .onSuspect((from, report) -> onSuspectReport(report))
                .onRecords((from, records) -> logParts.follower().offerRecords(records))
                .onStateRequest(this::onStateRequest)
                .onSnapshot((from, snapshot) -> onSnapshot(from, snapshot))
                .onLeaving((from, leaving) -> loadExchange.removePeer(
                        leaving.getInstance(), timing.ticker().nanos()))
                .onReachable(this::onReachableChange);
    }

    /** Sends changed load and, every second time, the digest; requests missing records; schedules the next exchange. */
    private void exchange() {
        try {
            boolean full = exchanges++ % EXCHANGES_PER_FULL_EXCHANGE == 0;
            var changed = full ? withAllTotals(loadExchange.drainChangedTotals()) : loadExchange.drainChangedTotals();
            if (!changed.isEmpty()) {
                links.sendLoad(changed);
            }
            if (exchanges % 2 == 0) {
                links.sendDigest(PeerMessages.digestToMessage(
                        fleet.digest(self.failureDomain(), timing.ticker().nanos())));
            }
            requestMissingRecords();
        } finally {
            timing.scheduler().runAt(timing.deadlineAfterMillis(EXCHANGE_INTERVAL_MILLIS), this::exchange);
        }
    }

    /** Returns the changed totals and all totals; the latter alone would lack those that became zero. */
    private List<EngineLoad> withAllTotals(List<EngineLoad> changed) {
        List<EngineLoad> all = new ArrayList<>(changed);
        all.addAll(loadExchange.allTotals());
        return all;
    }

    /** Requests missing records from the peer with the highest log offset if the log service is unreachable. */
    private void requestMissingRecords() {
        boolean cutOff = !logParts.follower().isFresh(MAX_READ_AGE_MILLIS);
        boolean everRead = logParts.follower().lastReadNanos().isPresent();
        logOutageDetector.update(cutOff, everRead, timing.ticker().nanos()).ifPresent(this::reportOutage);
        long position = logParts.fold().position();
        if (!cutOff) {
            return;
        }
        links.peers().stream()
                .filter(PeerView::reachable)
                .filter(peer -> peer.logOffset() >= position)
                .max(Comparator.comparingLong(PeerView::logOffset))
                .ifPresent(peer -> links.requestState(peer.identity().instance(), position, position == 0));
    }

    /** Logs that the log service became unreachable or reachable again. */
    private void reportOutage(boolean unreachable) {
        Event.named(unreachable ? "log_out_of_reach" : "log_in_reach")
                .with("instance", self.instance())
                .with("failure_domain", self.failureDomain())
                .with("position", logParts.fold().position())
                .with("configuration", logParts.configuration().active().offset())
                .log(log, unreachable ? Level.WARNING : Level.INFO);
    }

    /** Sends records to a peer that cannot reach the platform, or a snapshot if requested or the buffer lacks them. */
    private void onStateRequest(PeerIdentity from, StateRequest request) {
        Optional<List<StoredRecord>> records = recordBuffer.recordsFrom(request.getFromOffset());
        if (records.isPresent() && !request.getSnapshot()) {
            if (!records.get().isEmpty()) {
                links.sendRecords(from.instance(), records.get());
            }
            return;
        }
        Snapshot snapshot = logParts.fold().snapshot();
        links.sendSnapshot(from.instance(), new PeerSnapshot(snapshot.upTo(), RecordCodec.encode(snapshot)));
    }

    /** Offers the snapshot of a peer to the log follower. */
    private void onSnapshot(PeerIdentity from, PeerSnapshot snapshot) {
        boolean restored = logParts.follower().offerSnapshot(RecordCodec.decode(snapshot.json(), Snapshot.class));
        Event.named("snapshot_of_peer")
                .with("peer", from.instance())
                .with("up_to", snapshot.upTo())
                .with("taken", restored)
                .log(log, Level.INFO);
    }

    /** Sends changed suspect entries to the peers. */
    private void sendSuspects(SuspectDigest digest) {
        digest.entries()
                .forEach(entry -> links.sendSuspect(
                        entry.fingerprint().hex(), stateOf(entry), SUSPECT_TTL_MILLIS, RecordCodec.encode(digest)));
    }

    /** Returns the state of a suspect for the message field that peers can read without decoding the entry. */
    private SuspectState stateOf(SuspectEntry entry) {
        return entry.blockedUntilMillis() > timing.clock().millis()
                ? SuspectState.SUSPECT_STATE_CONDEMNED
                : SuspectState.SUSPECT_STATE_SUSPECT;
    }

    /** Merges a peer's report on a suspect. */
    private void onSuspectReport(SuspectReport report) {
        if (!report.getDetail().isEmpty()) {
            suspects.merge(RecordCodec.decode(report.getDetail().toStringUtf8(), SuspectDigest.class));
        }
    }

    /** Removes the load and the isolated runs of a peer that became unreachable. */
    private void onReachableChange(PeerIdentity peer, boolean isReachable) {
        if (!isReachable) {
            suspects.removePeerRuns(peer.instance());
            loadExchange.removePeer(peer.instance(), timing.ticker().nanos());
        }
    }

    /** Returns the peer address of an instance, empty when its entry has no valid host and port. */
    private static Optional<PeerAddress> addressOf(InstanceEntry entry) {
        int colon = entry.address().lastIndexOf(':');
        if (colon < 0) {
            return Optional.empty();
        }
        try {
            int port = Integer.parseInt(entry.address().substring(colon + 1));
            String host = entry.address().substring(0, colon);
            return Optional.of(new PeerAddress(entry.id(), entry.failureDomain(), host, port));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
