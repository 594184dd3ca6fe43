package org.verbenatray.peers;

/**
 * Settings of the links between instances.
 *
 * @param self this instance
 * @param bindHost the IP address to listen on
 * @param bindPort the port to listen on, 0 for one assigned by the operating system
 * @param ownDomainBytesPerSecond the control budget of all links within the failure domain together
 * @param otherDomainsBytesPerSecond the control budget of all links to other failure domains together
 * @param bulkBytesPerSecond the budget of records and snapshots on each link
 * @param ownHeartbeatMillis the heartbeat interval within the failure domain in milliseconds
 * @param otherHeartbeatMillis the heartbeat interval to other failure domains in milliseconds
 */
public record PeerSettings(
        PeerIdentity self,
        String bindHost,
        int bindPort,
        int ownDomainBytesPerSecond,
        int otherDomainsBytesPerSecond,
        int bulkBytesPerSecond,
        int ownHeartbeatMillis,
        int otherHeartbeatMillis) {
    /** The consecutive heartbeats that may be missed before a peer counts as unreachable. */
    private static final int MAX_MISSED_HEARTBEATS = 3;

    /** Returns settings with the default budgets and intervals. */
    public static PeerSettings defaults(PeerIdentity self, String bindHost, int bindPort) {
        return new PeerSettings(self, bindHost, bindPort, 1_600, 960, 1_048_576, 2_000, 5_000);
    }

    /** Returns whether a peer belongs to the failure domain of this instance. */
    boolean isOwnDomain(PeerIdentity peer) {
        return peer.failureDomain().equals(self.failureDomain());
    }

    /** Returns the heartbeat interval for a peer in milliseconds. */
    long heartbeatMillis(PeerIdentity peer) {
        return isOwnDomain(peer) ? ownHeartbeatMillis : otherHeartbeatMillis;
    }

    /** Returns the time without a frame, in milliseconds, after which a peer counts as unreachable. */
    long silenceMillis(PeerIdentity peer) {
        return heartbeatMillis(peer) * MAX_MISSED_HEARTBEATS + heartbeatMillis(peer) / 2;
    }
}
