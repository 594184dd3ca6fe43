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

/** Passes the frames of open links to the handlers and relays what other peers need. Used on the links' thread only. */
final class FrameRouter {
    /** The event lines. */
    private static final Logger log = System.getLogger(FrameRouter.class.getName());

    /** The largest length of names of instances and engines and of fingerprints in characters. */
    private static final int MAX_NAME_CHARS = 256;

    /** The settings, which name this instance. */
    private final PeerSettings settings;

    /** The handlers. */
    private final PeerHandlers handlers;

    /** The open links. */
    private final LinkRegistry registry;

    /** Recognises what arrived before. */
    private final FloodFilter filter = FloodFilter.create();

    /** The reports for peers that link later. */
    private final RecentSuspects suspects = RecentSuspects.create();

    /** The source of time. */
    private final Ticker ticker;

    /** Whether all instances of the failure domain link to one another, so that load needs no relay. */
    private boolean wholeDomain = true;

    /** Creates a router. */
    private FrameRouter(PeerSettings settings, PeerHandlers handlers, LinkRegistry registry, Ticker ticker) {
        this.settings = settings;
        this.handlers = handlers;
        this.registry = registry;
        this.ticker = ticker;
    }

    /** Returns a router for the links of a registry. */
    static FrameRouter create(PeerSettings settings, PeerHandlers handlers, LinkRegistry registry, Ticker ticker) {
        return new FrameRouter(settings, handlers, registry, ticker);
    }

    /** Sets whether load needs no relay. */
    void setWholeDomain(boolean whole) {
        wholeDomain = whole;
    }

    /** Handles a frame other than a hello or heartbeat; unknown frames of later versions are ignored. */
    void route(PeerLink link, Frame frame) {
        PeerIdentity from = link.peer().orElseThrow();
        switch (frame.getBodyCase()) {
            case HELLO -> throw new BadFrameException("a second hello");
            case LOAD_DELTA -> load(link, from, frame.getLoadDelta());
            case DOMAIN_DIGEST -> handle(handlers.digest(), from, frame.getDomainDigest());
            case SUSPECT_REPORT -> suspect(link, from, frame.getSuspectReport());
            case LEAVING -> leaving(link, from, frame.getLeaving());
            case LOG_RECORDS -> handle(handlers.records(), from, records(frame));
            case STATE_REQUEST -> handle(handlers.stateRequest(), from, frame.getStateRequest());
            case STATE_REPLY ->
                link.assembly()
                        .accept(frame.getStateReply())
                        .ifPresent(snapshot -> handle(handlers.snapshot(), from, snapshot));
            default -> {}
        }
    }

    /** Reports that a peer became reachable or fell silent. */
    void reachable(PeerIdentity peer, boolean reachable) {
        Event.named(reachable ? "peer_reachable" : "peer_unreachable")
                .with("peer", peer.instance())
                .with("peer_domain", peer.failureDomain())
                .log(log, reachable ? Level.INFO : Level.WARNING);
        handle(handlers.reachable(), peer, reachable);
    }

    /** Sends load to the links of the own failure domain. */
    void sendLoad(LoadDelta delta) {
        Frame frame = Frame.newBuilder().setLoadDelta(delta).build();
        registry.openLinks(true).forEach(link -> link.send(FramePriority.LOAD, delta.getInstance(), frame));
    }

    /** Sends what a peer that just linked has to know. */
    void greet(PeerLink link) {
        for (SuspectReport report : suspects.remaining(ticker.nanos())) {
            Frame frame = Frame.newBuilder().setSuspectReport(report).build();
            link.send(priority(report), suspectKey(report), frame);
        }
    }

    /** Sends a report on a suspect to all links. */
    void sendSuspect(SuspectReport report) {
        suspects.add(suspectKey(report), report, ticker.nanos());
        Frame frame = Frame.newBuilder().setSuspectReport(report).build();
        registry.openLinks().forEach(link -> link.send(priority(report), suspectKey(report), frame));
    }

    /** Returns the order in which a report is sent; what condemns a request must not wait for its turn. */
    private static FramePriority priority(SuspectReport report) {
        return report.getState() == SuspectState.SUSPECT_STATE_CONDEMNED
                ? FramePriority.CONDEMNED
                : FramePriority.SUSPECT;
    }

    /** Sends the notice of a leaving instance to all links. */
    void sendLeaving(Leaving leaving) {
        Frame frame = Frame.newBuilder().setLeaving(leaving).build();
        registry.openLinks().forEach(link -> link.send(FramePriority.LEAVING, leaving.getInstance(), frame));
    }

    /** Fails on a name that is too long to be remembered. */
    private static void checkName(String name) {
        if (name.length() > MAX_NAME_CHARS) {
            throw new BadFrameException("a name of " + name.length() + " characters");
        }
    }

    /** Handles load of an instance of the own failure domain and relays what is new in it. */
    private void load(PeerLink link, PeerIdentity from, LoadDelta delta) {
        checkName(delta.getInstance());
        delta.getEnginesList().forEach(load -> checkName(load.getEngine()));
        if (!settings.isOwnDomain(from) || isSelf(delta.getInstance())) {
            return;
        }
        filter.newPart(delta).ifPresent(fresh -> {
            handle(handlers.load(), from, fresh);
            if (!wholeDomain) {
                Frame frame = Frame.newBuilder().setLoadDelta(fresh).build();
                registry.openLinks(true).stream()
                        .filter(other -> other != link)
                        .forEach(other -> other.send(FramePriority.LOAD, fresh.getInstance(), frame));
            }
        });
    }

    /** Handles and relays a report on a suspect that did not arrive before. */
    private void suspect(PeerLink link, PeerIdentity from, SuspectReport report) {
        checkName(report.getInstance());
        checkName(report.getFingerprint());
        if (!isSelf(report.getInstance()) && filter.isNew(suspectKey(report), report.getSequence())) {
            suspects.add(suspectKey(report), report, ticker.nanos());
            handle(handlers.suspect(), from, report);
            Frame frame = Frame.newBuilder().setSuspectReport(report).build();
            registry.openLinks().stream()
                    .filter(other -> other != link)
                    .forEach(other -> other.send(priority(report), suspectKey(report), frame));
        }
    }

    /** Handles and relays the notice of a leaving instance that did not arrive before. */
    private void leaving(PeerLink link, PeerIdentity from, Leaving leaving) {
        checkName(leaving.getInstance());
        if (!isSelf(leaving.getInstance()) && filter.isNew("leaving/" + leaving.getInstance(), leaving.getSequence())) {
            handle(handlers.leaving(), from, leaving);
            Frame frame = Frame.newBuilder().setLeaving(leaving).build();
            registry.openLinks().stream()
                    .filter(other -> other != link)
                    .forEach(other -> other.send(FramePriority.LEAVING, leaving.getInstance(), frame));
        }
    }

    /** Returns the relayed records of a frame. */
    private static List<StoredRecord> records(Frame frame) {
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

    /** Returns the key of a report on a suspect. */
    private static String suspectKey(SuspectReport report) {
        return "suspect/" + report.getInstance() + "/" + report.getFingerprint();
    }

    /** Returns whether a message came back to the instance that sent it first. */
    private boolean isSelf(String instance) {
        return instance.equals(settings.self().instance());
    }

    /** Calls a handler; its failure does not harm the link. */
    private static <T> void handle(PeerHandler<T> handler, PeerIdentity from, T message) {
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
