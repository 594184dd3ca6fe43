package org.verbenatray.relay;

/** Receives the events and the outcome of one {@link ForwardAttempt}; no call follows the outcome. */
interface ForwardListener {
    /** Returns whether a stream is delivered event by event instead of as a whole. */
    boolean acceptsEvents();

    /** Receives the next event of a stream with the given response head. */
    void onEvent(ServerResponseHead head, StreamEvent event);

    /** Called after the events that have been read at once, so that their receiver can pass them on together. */
    default void onEventsRead() {}

    /** Receives the outcome of the attempt. */
    void onOutcome(ForwardOutcome outcome);
}
