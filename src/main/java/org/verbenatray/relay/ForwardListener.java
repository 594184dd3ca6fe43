package org.verbenatray.relay;

/** Receives the events and the outcome of one {@link ForwardAttempt}; no call follows the outcome. */
interface ForwardListener {
    /** Returns whether a stream is delivered event by event instead of as a whole. */
    boolean acceptsEvents();

    /** Returns whether an event may follow those received; the attempt ends before one that may not. */
    default boolean accepts(StreamEvent event) {
        return true;
    }

    /** Returns the size of the events that were received and that the listener has not passed on. */
    default int keptBytes() {
        return 0;
    }

    /** Receives the next event of a stream with the given response head. */
    void onEvent(ServerResponseHead head, StreamEvent event);

    /**
     * Decides about a server that has been silent for longer than the timeout: true ends the attempt, and a retry at
     * another server is reserved; false awaits the server further, since it may only pause and nothing else could serve
     * the request.
     */
    boolean reserveMoveFromSilentServer();

    /** Called after the events that have been read at once, so that their receiver can pass them on together. */
    default void onEventsRead() {}

    /** Receives the outcome of the attempt. */
    void onOutcome(ForwardOutcome outcome);
}
