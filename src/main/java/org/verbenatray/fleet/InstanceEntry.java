package org.verbenatray.fleet;

/**
 * An entry of the platform's instance list.
 *
 * @param name the name of the instance or backend server
 * @param kind the kind of process
 * @param failureDomain the failure domain in which it runs
 * @param address the peer address of an entry instance, or the base URI of a backend server
 * @param incarnation a number that increases with each start of the instance
 * @param leaving whether it is about to stop
 */
public record InstanceEntry(
        String name, Kind kind, String failureDomain, String address, long incarnation, boolean leaving) {
    /** Returns the id of this incarnation, which is unique among all processes over time. */
    public String id() {
        return name + "@" + incarnation;
    }

    /** The kinds of listed processes. */
    public enum Kind {
        /** An entry instance of this system. */
        ENTRY,
        /** A language-model engine. */
        ENGINE,
        /** A backend server of a plain service. */
        SERVICE
    }
}
