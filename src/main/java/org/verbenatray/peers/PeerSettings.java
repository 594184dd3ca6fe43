package org.verbenatray.peers;

/**
 * The settings of the links between instances.
 *
 * @param self this instance
 * @param bindHost the IP number to listen on
 * @param bindPort the port to listen on, 0 for one that the operating system chooses
 * @param ownDomainBytesPerSecond the bytes per second of control on all links of the own failure domain together
 * @param otherDomainsBytesPerSecond the bytes per second of control on all links to other failure domains together
 * @param bulkBytesPerSecond the bytes per second of records and snapshots on each link
 * @param ownHeartbeatMillis the interval of heartbeats within the failure domain in milliseconds
 * @param otherHeartbeatMillis the interval of heartbeats to other failure domains in milliseconds
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
    /** The heartbeats that may be missed before a peer counts as unreachable. */
    private static final int MISSED_HEARTBEATS = 3;

    /** Returns the settings with the default budgets and intervals. */
    public static PeerSettings defaults(PeerIdentity self, String bindHost, int bindPort) {
        return new PeerSettings(self, bindHost, bindPort, 1_600, 960, 1_048_576, 2_000, 5_000);
    }

    /** Returns whether a peer belongs to the own failure domain. */
    boolean isOwnDomain(PeerIdentity peer) {
        return peer.failureDomain().equals(self.failureDomain());
    }

    /** Returns the interval of heartbeats to a peer in milliseconds. */
    long heartbeatMillis(PeerIdentity peer) {
        return isOwnDomain(peer) ? ownHeartbeatMillis : otherHeartbeatMillis;
    }

    /** Returns the silence after which a peer counts as unreachable in milliseconds. */
    long silenceMillis(PeerIdentity peer) {
        return heartbeatMillis(peer) * MISSED_HEARTBEATS + heartbeatMillis(peer) / 2;
    }
}
