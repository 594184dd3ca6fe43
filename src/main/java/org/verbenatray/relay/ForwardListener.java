package org.verbenatray.relay;

/** Hears how one sending of a request goes; nothing follows the outcome. */
interface ForwardListener {
    /** Returns whether a stream is wanted event by event instead of whole. */
    boolean takesEvents();

    /** Hears the next event of a stream that began with the given head. */
    void onEvent(ServerHead head, StreamEvent event);

    /** Hears what became of the request. */
    void onOutcome(ForwardOutcome outcome);
}
