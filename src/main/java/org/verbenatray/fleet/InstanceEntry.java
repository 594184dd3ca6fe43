package org.verbenatray.fleet;

/**
 * One line of the platform's instance list.
 *
 * @param name the name of the instance or backend server
 * @param kind what it is
 * @param failureDomain the failure domain it runs in
 * @param address the address for its kind: the peer address of an entry instance, the base URI of a backend server
 * @param incarnation a number that grows with each start of the instance
 * @param leaving whether it is about to stop
 */
public record InstanceEntry(
        String name, Kind kind, String failureDomain, String address, long incarnation, boolean leaving) {
    /** Returns the name of this incarnation, which no other process ever has. */
    public String id() {
        return name + "@" + incarnation;
    }

    /** The kinds of instances. */
    public enum Kind {
        /** An entry instance of this system. */
        ENTRY,
        /** A model engine. */
        ENGINE,
        /** A backend server of a plain service. */
        SERVICE
    }
}
