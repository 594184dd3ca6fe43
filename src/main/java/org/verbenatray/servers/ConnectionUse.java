package org.verbenatray.servers;

/** Kinds of connections that an exchange may use. */
public enum ConnectionUse {
    /** A new connection, so that the call is not lost on an idle connection that the server has closed. */
    NEW,
    /**
     * A connection of the pool that was used a moment ago, or a new one that the server has not reset at once; the
     * server has taken it then. For calls that cannot be sent again if their connection is lost.
     */
    CONFIRMED,
    /** An idle connection from the pool, or a new one. The exchange fails if the connection turns out to be closed. */
    POOLED,
    /** Like {@link #POOLED}, but a GET whose idle connection turns out to be closed is sent again on a new one. */
    POOLED_WITH_RETRY
}
