package org.verbenatray.peers;

import java.util.List;
import org.verbenatray.log.StoredRecord;
import org.verbenatray.peers.generated.DomainDigest;
import org.verbenatray.peers.generated.Leaving;
import org.verbenatray.peers.generated.LoadDelta;
import org.verbenatray.peers.generated.StateRequest;
import org.verbenatray.peers.generated.SuspectReport;

/** The handlers of the messages of peers; what is not set is ignored. Set them before the links are started. */
public final class PeerHandlers {
    /** Handles load. */
    private PeerHandler<LoadDelta> load = (from, message) -> {};

    /** Handles digests. */
    private PeerHandler<DomainDigest> digest = (from, message) -> {};

    /** Handles suspects. */
    private PeerHandler<SuspectReport> suspect = (from, message) -> {};

    /** Handles relayed records. */
    private PeerHandler<List<StoredRecord>> records = (from, message) -> {};

    /** Handles requests of state. */
    private PeerHandler<StateRequest> stateRequest = (from, message) -> {};

    /** Handles requested snapshots. */
    private PeerHandler<PeerSnapshot> snapshot = (from, message) -> {};

    /** Handles leaving instances. */
    private PeerHandler<Leaving> leaving = (from, message) -> {};

    /** Handles changes of reachability. */
    private PeerHandler<Boolean> reachable = (from, message) -> {};

    /** Creates handlers that ignore everything. */
    private PeerHandlers() {}

    /** Returns handlers that ignore everything. */
    public static PeerHandlers create() {
        return new PeerHandlers();
    }

    /** Sets the handler of load that an instance of the own failure domain caused. */
    public PeerHandlers onLoad(PeerHandler<LoadDelta> handler) {
        load = handler;
        return this;
    }

    /** Sets the handler of the digest of another failure domain. */
    public PeerHandlers onDigest(PeerHandler<DomainDigest> handler) {
        digest = handler;
        return this;
    }

    /** Sets the handler of a report on a request that crashed backend servers. */
    public PeerHandlers onSuspect(PeerHandler<SuspectReport> handler) {
        suspect = handler;
        return this;
    }

    /** Sets the handler of relayed records in the order of their offsets. */
    public PeerHandlers onRecords(PeerHandler<List<StoredRecord>> handler) {
        records = handler;
        return this;
    }

    /** Sets the handler of a peer's request of records or a snapshot. */
    public PeerHandlers onStateRequest(PeerHandler<StateRequest> handler) {
        stateRequest = handler;
        return this;
    }

    /** Sets the handler of a snapshot that was requested. */
    public PeerHandlers onSnapshot(PeerHandler<PeerSnapshot> handler) {
        snapshot = handler;
        return this;
    }

    /** Sets the handler of the notice that an instance is leaving. */
    public PeerHandlers onLeaving(PeerHandler<Leaving> handler) {
        leaving = handler;
        return this;
    }

    /** Sets the handler of whether a peer became reachable or fell silent. */
    public PeerHandlers onReachable(PeerHandler<Boolean> handler) {
        reachable = handler;
        return this;
    }

    /** Returns the handler of load that an instance of the own failure domain caused. */
    PeerHandler<LoadDelta> load() {
        return load;
    }

    /** Returns the handler of the digest of another failure domain. */
    PeerHandler<DomainDigest> digest() {
        return digest;
    }

    /** Returns the handler of a report on a request that crashed backend servers. */
    PeerHandler<SuspectReport> suspect() {
        return suspect;
    }

    /** Returns the handler of relayed records in the order of their offsets. */
    PeerHandler<List<StoredRecord>> records() {
        return records;
    }

    /** Returns the handler of a peer's request of records or a snapshot. */
    PeerHandler<StateRequest> stateRequest() {
        return stateRequest;
    }

    /** Returns the handler of a snapshot that was requested. */
    PeerHandler<PeerSnapshot> snapshot() {
        return snapshot;
    }

    /** Returns the handler of the notice that an instance is leaving. */
    PeerHandler<Leaving> leaving() {
        return leaving;
    }

    /** Returns the handler of whether a peer became reachable or fell silent. */
    PeerHandler<Boolean> reachable() {
        return reachable;
    }
}
