package org.verbenatray.relay;

/** The planned stop of an instance, as far as it concerns requests. Safe for several threads. */
public interface PlannedStop {
    /** Returns whether the instance was asked to stop. */
    boolean isStopping();

    /** Returns whether new requests are rejected, as callers have learned of the stop by now. */
    boolean rejectsRequests();

    /**
     * Returns whether work that takes the given time in milliseconds from now on ends before open requests are ended;
     * always true before the request to stop.
     */
    boolean leavesTimeFor(long millis);
}
