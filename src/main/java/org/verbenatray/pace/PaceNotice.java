package org.verbenatray.pace;

/**
 * What one instance has learned of the pace of a server, for the others of its group.
 *
 * @param boot the boot id of the server
 * @param kind what was learned
 * @param share the share of the instances that may use the server, 0 to 1
 */
public record PaceNotice(String boot, Kind kind, double share) {
    /** What was learned of a server. */
    public enum Kind {
        /** It answers again after it had failed. */
        RECOVERED,
        /** It answers well, so that more instances may use it. */
        RAISED,
        /** It rejects requests or fails, so that fewer instances may use it. */
        LOWERED
    }
}
