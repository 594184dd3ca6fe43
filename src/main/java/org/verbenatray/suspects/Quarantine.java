package org.verbenatray.suspects;

import java.util.Optional;

/** How a request may run. */
public sealed interface Quarantine {
    /**
     * It runs like any other.
     *
     * @param onlyServer the server on which an equal request is in flight here, which this one has to use too
     */
    record Normally(Optional<String> onlyServer) implements Quarantine {}

    /**
     * It runs alone: the server is barred for other work, and the run starts when nothing else is left there.
     *
     * @param server the server
     */
    record Alone(String server) implements Quarantine {}

    /**
     * It waits for an equal request or for a server of its own.
     *
     * @param askAgainMillis the time from which to ask again, in milliseconds since the epoch
     */
    record Wait(long askAgainMillis) implements Quarantine {}

    /**
     * It is refused finally.
     *
     * @param comeBackMillis the time from which the caller may come back, in milliseconds since the epoch
     */
    record Refused(long comeBackMillis) implements Quarantine {}
}
