package org.verbenatray.peers;

import java.util.List;
import org.verbenatray.log.StoredRecord;
import org.verbenatray.peers.generated.DomainDigest;
import org.verbenatray.peers.generated.Leaving;
import org.verbenatray.peers.generated.LoadDelta;
import org.verbenatray.peers.generated.StateRequest;
import org.verbenatray.peers.generated.SuspectReport;

/**
 * The handlers of messages from peers. Messages without a handler are ignored. Set handlers before the links are
 * started.
 */
public final class PeerHandlers {
    private PeerHandler<LoadDelta> load = (from, message) -> {};

    private PeerHandler<DomainDigest> digest = (from, message) -> {};

    private PeerHandler<SuspectReport> suspect = (from, message) -> {};

    private PeerHandler<List<StoredRecord>> records = (from, message) -> {};

    private PeerHandler<StateRequest> stateRequest = (from, message) -> {};

    private PeerHandler<PeerSnapshot> snapshot = (from, message) -> {};

    private PeerHandler<Leaving> leaving = (from, message) -> {};

    /** Called with true when a peer becomes reachable and with false when it becomes unreachable. */
    private PeerHandler<Boolean> reachable = (from, message) -> {};

    private PeerHandlers() {}

    /** Returns handlers that ignore everything. */
    public static PeerHandlers create() {
        return new PeerHandlers();
    }

    /** Sets the handler of the load that an instance of this failure domain causes on engines. */
    public PeerHandlers onLoad(PeerHandler<LoadDelta> handler) {
        load = handler;
        return this;
    }

    /** Sets the handler of digests of other failure domains. */
    public PeerHandlers onDigest(PeerHandler<DomainDigest> handler) {
        digest = handler;
        return this;
    }

    /** Sets the handler of reports on requests that crashed backend servers. */
    public PeerHandlers onSuspect(PeerHandler<SuspectReport> handler) {
        suspect = handler;
        return this;
    }

    /** Sets the handler of relayed log records, which arrive in the order of their offsets. */
    public PeerHandlers onRecords(PeerHandler<List<StoredRecord>> handler) {
        records = handler;
        return this;
    }

    /** Sets the handler of requests for records or a snapshot. */
    public PeerHandlers onStateRequest(PeerHandler<StateRequest> handler) {
        stateRequest = handler;
        return this;
    }

    /** Sets the handler of snapshots that this instance requested. */
    public PeerHandlers onSnapshot(PeerHandler<PeerSnapshot> handler) {
        snapshot = handler;
        return this;
    }

    /** Sets the handler of notices that an instance is leaving. */
    public PeerHandlers onLeaving(PeerHandler<Leaving> handler) {
        leaving = handler;
        return this;
    }

    /** Sets the handler called with true when a peer becomes reachable and with false when it becomes unreachable. */
    public PeerHandlers onReachable(PeerHandler<Boolean> handler) {
        reachable = handler;
        return this;
    }

    /** Returns the handler of the load that an instance of this failure domain causes on engines. */
    PeerHandler<LoadDelta> load() {
        return load;
    }

    /** Returns the handler of digests of other failure domains. */
    PeerHandler<DomainDigest> digest() {
        return digest;
    }

    /** Returns the handler of reports on requests that crashed backend servers. */
    PeerHandler<SuspectReport> suspect() {
        return suspect;
    }

    /** Returns the handler of relayed log records. */
    PeerHandler<List<StoredRecord>> records() {
        return records;
    }

    /** Returns the handler of requests for records or a snapshot. */
    PeerHandler<StateRequest> stateRequest() {
        return stateRequest;
    }

    /** Returns the handler of snapshots that this instance requested. */
    PeerHandler<PeerSnapshot> snapshot() {
        return snapshot;
    }

    /** Returns the handler of notices that an instance is leaving. */
    PeerHandler<Leaving> leaving() {
        return leaving;
    }

    /** Returns the handler of changes of reachability. */
    PeerHandler<Boolean> reachable() {
        return reachable;
    }
}
