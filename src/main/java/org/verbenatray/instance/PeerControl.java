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

/** Exchanges load, suspects and records of the log with the peers of this instance. */
final class PeerControl implements AutoCloseable {
    /** The logger. */
    private static final Logger log = System.getLogger(PeerControl.class.getName());

    /** The pause between two exchanges in milliseconds. */
    private static final long PAUSE_MILLIS = 500;

    /** The exchanges after which all totals and the digest are sent again. */
    private static final int FULL_EVERY = 8;

    /** The age of the last read of the log after which peers are asked for records, in milliseconds. */
    private static final long CUT_OFF_MILLIS = 2_500;

    /** The time for which a report on a suspect is passed on, in milliseconds. */
    private static final long SUSPECT_MILLIS = 600_000;

    /** This instance. */
    private final PeerIdentity self;

    /** The parts around the log. */
    private final LogParts logParts;

    /** The engines. */
    private final FleetView fleet;

    /** The requests that may crash engines. */
    private final SuspectGuard suspects;

    /** The sources of time. */
    private final Timing timing;

    /** The load of all instances. */
    private final PeerLoads loads;

    /** The last records of the log. */
    private final RelayBuffer relayed = new RelayBuffer();

    /** The links. */
    private final PeerLinks links;

    /** The exchanges so far. */
    private int exchanges;

    /** Tells when the log service went out of reach or came back. */
    private final LogReach reach;

    /** Creates a control that listens but has no links yet. */
    PeerControl(
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
        this.loads = new PeerLoads(fleet);
        this.reach = LogReach.startingAt(timing.ticker().nanos());
        this.links = PeerLinks.start(
                PeerSettings.defaults(self, listen.getHostString(), listen.getPort()),
                handlers(),
                () -> logParts.fold().position() - 1,
                timing.ticker(),
                timing.clock());
    }

    /** Links to the given addresses until an instance list is read, and starts the exchange. */
    void start(List<InetSocketAddress> known) {
        logParts.follower().onApplied(applied -> relayed.add(applied.stored()));
        suspects.onChange(this::sendSuspect);
        List<PeerAddress> seeds = known.stream()
                .map(address -> new PeerAddress(
                        "known:" + address.getHostString() + ":" + address.getPort(),
                        self.failureDomain(),
                        address.getHostString(),
                        address.getPort()))
                .toList();
        if (!seeds.isEmpty()) {
            links.connectTo(new PlannedLinks(seeds, false));
        }
        exchange();
    }

    /** Links to the peers that the plan for an instance list gives. */
    void onInstanceList(List<InstanceEntry> entries) {
        List<PeerAddress> addresses = new ArrayList<>();
        entries.stream()
                .filter(entry -> entry.kind() == InstanceEntry.Kind.ENTRY)
                .forEach(entry -> addressOf(entry).ifPresent(addresses::add));
        links.connectTo(LinkPlan.of(addresses).linksOf(self));
    }

    /** Returns the port that peers connect to. */
    int port() {
        return links.port();
    }

    /** Returns the peers that were heard. */
    List<PeerView> peers() {
        return links.peers();
    }

    /** Tells the peers that this instance is leaving. */
    void leave() {
        links.sendLeaving();
    }

    @Override
    public void close() {
        links.close();
    }

    /** Returns the handlers of the peers' messages. */
    private PeerHandlers handlers() {
        return PeerHandlers.create()
                .onLoad((from, delta) -> loads.received(delta, timing.ticker().nanos()))
                .onDigest((from, digest) -> fleet.onDomainDigest(
                        PeerMessages.digest(digest), timing.ticker().nanos()))
                .onSuspect((from, report) -> receivedSuspect(report))
                .onRecords((from, records) -> logParts.follower().offer(records))
                .onStateRequest(this::answer)
                .onSnapshot((from, snapshot) -> receivedSnapshot(from, snapshot))
                .onLeaving((from, leaving) ->
                        loads.forget(leaving.getInstance(), timing.ticker().nanos()))
                .onReachable(this::reachable);
    }

    /** Sends what changed and asks for records where this instance is cut off, now and again after each pause. */
    private void exchange() {
        try {
            boolean full = exchanges++ % FULL_EVERY == 0;
            var changed = full ? withAllTotals(loads.takeChanged()) : loads.takeChanged();
            if (!changed.isEmpty()) {
                links.sendLoad(changed);
            }
            if (exchanges % 2 == 0) {
                links.sendDigest(PeerMessages.digest(
                        fleet.digest(self.failureDomain(), timing.ticker().nanos())));
            }
            askForRecords();
        } finally {
            timing.scheduler().runAt(timing.inMillis(PAUSE_MILLIS), this::exchange);
        }
    }

    /** Returns all totals with the changed ones that are zero now. */
    private List<EngineLoad> withAllTotals(List<EngineLoad> changed) {
        List<EngineLoad> all = new ArrayList<>(changed);
        all.addAll(loads.all());
        return all;
    }

    /** Asks the peer that read most of the log for what this instance lacks. */
    private void askForRecords() {
        boolean cutOff = !logParts.follower().isFresh(CUT_OFF_MILLIS);
        boolean everRead = logParts.follower().lastReadNanos().isPresent();
        reach.changed(cutOff, everRead, timing.ticker().nanos()).ifPresent(this::logReach);
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

    /** Logs that the log service went out of reach or came back. */
    private void logReach(boolean outOfReach) {
        Event.named(outOfReach ? "log_out_of_reach" : "log_in_reach")
                .with("instance", self.instance())
                .with("failure_domain", self.failureDomain())
                .with("position", logParts.fold().position())
                .with("configuration", logParts.configuration().active().offset())
                .log(log, outOfReach ? Level.WARNING : Level.INFO);
    }

    /** Answers a peer that is cut off from the platform. */
    private void answer(PeerIdentity from, StateRequest request) {
        Optional<List<StoredRecord>> records = relayed.from(request.getFromOffset());
        if (records.isPresent() && !request.getSnapshot()) {
            if (!records.get().isEmpty()) {
                links.sendRecords(from.instance(), records.get());
            }
            return;
        }
        Snapshot snapshot = logParts.fold().snapshot();
        links.sendSnapshot(from.instance(), new PeerSnapshot(snapshot.upTo(), RecordCodec.encode(snapshot)));
    }

    /** Takes a snapshot of a peer. */
    private void receivedSnapshot(PeerIdentity from, PeerSnapshot snapshot) {
        boolean taken = logParts.follower().offerSnapshot(RecordCodec.decode(snapshot.json(), Snapshot.class));
        Event.named("snapshot_of_peer")
                .with("peer", from.instance())
                .with("up_to", snapshot.upTo())
                .with("taken", taken)
                .log(log, Level.INFO);
    }

    /** Sends what changed about suspects. */
    private void sendSuspect(SuspectDigest digest) {
        digest.entries()
                .forEach(entry -> links.sendSuspect(
                        entry.fingerprint().hex(), stateOf(entry), SUSPECT_MILLIS, RecordCodec.encode(digest)));
    }

    /** Returns the state of a suspect that peers see without reading the entry. */
    private SuspectState stateOf(SuspectEntry entry) {
        return entry.condemnedUntilMillis() > timing.clock().millis()
                ? SuspectState.SUSPECT_STATE_CONDEMNED
                : SuspectState.SUSPECT_STATE_SUSPECT;
    }

    /** Takes what a peer knows of a suspect. */
    private void receivedSuspect(SuspectReport report) {
        if (!report.getDetail().isEmpty()) {
            suspects.merge(RecordCodec.decode(report.getDetail().toStringUtf8(), SuspectDigest.class));
        }
    }

    /** Forgets the load and the runs alone of a peer that fell silent. */
    private void reachable(PeerIdentity peer, boolean isReachable) {
        if (!isReachable) {
            suspects.forgetRunsOf(peer.instance());
            loads.forget(peer.instance(), timing.ticker().nanos());
        }
    }

    /** Returns the address of an instance, empty when the list shows none that can be used. */
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
