package org.verbenatray.peers;

import com.google.protobuf.ByteString;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.log.StoredRecord;
import org.verbenatray.peers.generated.Frame;
import org.verbenatray.peers.generated.Leaving;
import org.verbenatray.peers.generated.LoadDelta;
import org.verbenatray.peers.generated.SuspectReport;
import org.verbenatray.peers.generated.SuspectState;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Ticker;

/**
 * Dispatches received frames to the handlers and relays load, suspect reports and leaving notices to other peers.
 *
 * <p>Used on the link thread only.
 */
final class FrameRouter {
    private static final Logger log = System.getLogger(FrameRouter.class.getName());

    /** Bounds the memory of names of instances and engines and of fingerprints, which peers supply. */
    private static final int MAX_NAME_CHARS = 256;

    private final PeerSettings settings;

    private final PeerHandlers handlers;

    private final LinkRegistry registry;

    private final DuplicateFilter duplicates = DuplicateFilter.create();

    /** Suspect reports for peers that connect later. */
    private final RecentSuspects suspects = RecentSuspects.create();

    private final Ticker ticker;

    /** Whether all instances of this failure domain link to one another, so that load is not relayed. */
    private boolean fullMesh = true;

    private FrameRouter(PeerSettings settings, PeerHandlers handlers, LinkRegistry registry, Ticker ticker) {
        this.settings = settings;
        this.handlers = handlers;
        this.registry = registry;
        this.ticker = ticker;
    }

    /** Returns a router that sends over the open links of the registry. */
    static FrameRouter create(PeerSettings settings, PeerHandlers handlers, LinkRegistry registry, Ticker ticker) {
        return new FrameRouter(settings, handlers, registry, ticker);
    }

    /** Sets whether all instances of this failure domain link to one another, so that load is not relayed. */
    void setFullMesh(boolean newFullMesh) {
        fullMesh = newFullMesh;
    }

    /**
     * Handles a frame that is not a heartbeat. Unknown frame types, sent by later versions, are ignored.
     *
     * @throws BadFrameException if the frame violates the protocol
     */
    void route(PeerLink link, Frame frame) {
        PeerIdentity from = link.peer().orElseThrow();
        switch (frame.getBodyCase()) {
            case HELLO -> throw new BadFrameException("a second hello on the same link");
            case LOAD_DELTA -> handleLoad(link, from, frame.getLoadDelta());
            case DOMAIN_DIGEST -> invoke(handlers.digest(), from, frame.getDomainDigest());
            case SUSPECT_REPORT -> handleSuspect(link, from, frame.getSuspectReport());
            case LEAVING -> handleLeaving(link, from, frame.getLeaving());
            case LOG_RECORDS -> invoke(handlers.records(), from, decodeRecords(frame));
            case STATE_REQUEST -> invoke(handlers.stateRequest(), from, frame.getStateRequest());
            case STATE_REPLY ->
                link.snapshotAssembler()
                        .addChunk(frame.getStateReply())
                        .ifPresent(snapshot -> invoke(handlers.snapshot(), from, snapshot));
            default -> {}
        }
    }

    /** Logs that a peer became reachable or unreachable and calls the handler. */
    void reportReachability(PeerIdentity peer, boolean reachable) {
        Event.named(reachable ? "peer_reachable" : "peer_unreachable")
                .with("peer", peer.instance())
                .with("peer_domain", peer.failureDomain())
                .log(log, reachable ? Level.INFO : Level.WARNING);
        invoke(handlers.reachable(), peer, reachable);
    }

    /** Sends a load delta to all peers in this failure domain. */
    void sendLoad(LoadDelta delta) {
        Frame frame = Frame.newBuilder().setLoadDelta(delta).build();
        registry.openLinks(true).forEach(link -> link.send(FramePriority.LOAD, delta.getInstance(), frame));
    }

    /** Sends the suspect reports that have not expired to a peer that has just connected. */
    void sendRecentSuspects(PeerLink link) {
        for (SuspectReport report : suspects.unexpiredReports(ticker.nanos())) {
            Frame frame = Frame.newBuilder().setSuspectReport(report).build();
            link.send(priority(report), suspectKey(report), frame);
        }
    }

    /** Sends a suspect report to all peers and keeps it for peers that connect later. */
    void sendSuspect(SuspectReport report) {
        suspects.add(suspectKey(report), report, ticker.nanos());
        Frame frame = Frame.newBuilder().setSuspectReport(report).build();
        registry.openLinks().forEach(link -> link.send(priority(report), suspectKey(report), frame));
    }

    /** Returns the priority of a suspect report; a blocked request must be announced without delay. */
    private static FramePriority priority(SuspectReport report) {
        return report.getState() == SuspectState.SUSPECT_STATE_CONDEMNED
                ? FramePriority.BLOCKED
                : FramePriority.SUSPECT;
    }

    /** Sends a leaving notice to all peers. */
    void sendLeaving(Leaving leaving) {
        Frame frame = Frame.newBuilder().setLeaving(leaving).build();
        registry.openLinks().forEach(link -> link.send(FramePriority.LEAVING, leaving.getInstance(), frame));
    }

    /** Rejects a name that is too long to be stored. */
    private static void checkName(String name) {
        if (name.length() > MAX_NAME_CHARS) {
            throw new BadFrameException("a name of " + name.length() + " characters, more than " + MAX_NAME_CHARS);
        }
    }

    /** Handles load of an instance in this failure domain and relays the part that is new. */
    private void handleLoad(PeerLink link, PeerIdentity from, LoadDelta delta) {
        checkName(delta.getInstance());
        delta.getEnginesList().forEach(load -> checkName(load.getEngine()));
        if (!settings.isOwnDomain(from) || isSelf(delta.getInstance())) {
            return;
        }
        duplicates.withoutDuplicates(delta).ifPresent(fresh -> {
            invoke(handlers.load(), from, fresh);
            if (!fullMesh) {
                Frame frame = Frame.newBuilder().setLoadDelta(fresh).build();
                registry.openLinks(true).stream()
                        .filter(other -> other != link)
                        .forEach(other -> other.send(FramePriority.LOAD, fresh.getInstance(), frame));
            }
        });
    }

    /** Handles and relays a suspect report that has not arrived before. */
    private void handleSuspect(PeerLink link, PeerIdentity from, SuspectReport report) {
        checkName(report.getInstance());
        checkName(report.getFingerprint());
        if (!isSelf(report.getInstance()) && duplicates.recordIfNewer(suspectKey(report), report.getSequence())) {
            suspects.add(suspectKey(report), report, ticker.nanos());
            invoke(handlers.suspect(), from, report);
            Frame frame = Frame.newBuilder().setSuspectReport(report).build();
            registry.openLinks().stream()
                    .filter(other -> other != link)
                    .forEach(other -> other.send(priority(report), suspectKey(report), frame));
        }
    }

    /** Handles and relays a leaving notice that has not arrived before. */
    private void handleLeaving(PeerLink link, PeerIdentity from, Leaving leaving) {
        checkName(leaving.getInstance());
        if (!isSelf(leaving.getInstance())
                && duplicates.recordIfNewer("leaving/" + leaving.getInstance(), leaving.getSequence())) {
            invoke(handlers.leaving(), from, leaving);
            Frame frame = Frame.newBuilder().setLeaving(leaving).build();
            registry.openLinks().stream()
                    .filter(other -> other != link)
                    .forEach(other -> other.send(FramePriority.LEAVING, leaving.getInstance(), frame));
        }
    }

    /** Decodes the log records of a frame. */
    private static List<StoredRecord> decodeRecords(Frame frame) {
        List<StoredRecord> records = new ArrayList<>();
        for (ByteString json : frame.getLogRecords().getRecordsList()) {
            try {
                records.add(RecordCodec.decode(json.toStringUtf8(), StoredRecord.class));
            } catch (IllegalArgumentException e) {
                throw new BadFrameException(e.getMessage());
            }
        }
        return List.copyOf(records);
    }

    /** Returns the key that identifies the reporting instance and the request. */
    private static String suspectKey(SuspectReport report) {
        return "suspect/" + report.getInstance() + "/" + report.getFingerprint();
    }

    /** Returns whether a message returned to the instance that sent it first. */
    private boolean isSelf(String instance) {
        return instance.equals(settings.self().instance());
    }

    /** Calls a handler; an exception is logged and doesn't close the link. */
    private static <T> void invoke(PeerHandler<T> handler, PeerIdentity from, T message) {
        try {
            handler.handle(from, message);
        } catch (RuntimeException e) {
            Event.named("peer_handler_failed")
                    .with("peer", from.instance())
                    .with("error", e)
                    .log(log, Level.WARNING);
        }
    }
}
