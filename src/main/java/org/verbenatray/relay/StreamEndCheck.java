package org.verbenatray.relay;

import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Checks that a stream has ended whose rest came without an event: nothing may be left of it, or its server may have
 * lost the rest. The server is asked for the stream from its last event on. A sound one sends that event once more and
 * ends the stream; none of it is passed on. Used on one thread.
 */
final class StreamEndCheck implements ForwardListener {
    /** The position of the last event that the caller has received. */
    private final OptionalLong last;

    private final ForwardListener relay;

    /** Receives the outcome, once: a stream that has ended, or a failure. */
    private final Consumer<ForwardOutcome> onChecked;

    /** Whether the server has sent the last event once more. */
    private boolean repeated;

    private StreamEndCheck(OptionalLong last, ForwardListener relay, Consumer<ForwardOutcome> onChecked) {
        this.last = last;
        this.relay = relay;
        this.onChecked = onChecked;
    }

    /**
     * Returns a check of the end of a stream.
     *
     * @param last the position of the last event that the caller has received
     * @param relay decides whether a silent server is left
     * @param onChecked receives the outcome, which is {@link ForwardOutcome.Kind#STREAM_ENDED} only if the server has
     *     shown that the stream ends with that event
     */
    static StreamEndCheck of(OptionalLong last, ForwardListener relay, Consumer<ForwardOutcome> onChecked) {
        return new StreamEndCheck(last, relay, onChecked);
    }

    @Override
    public boolean acceptsEvents() {
        return true;
    }

    /** Accepts the last event, once: a stream that goes on behind it has not ended. */
    @Override
    public boolean accepts(StreamEvent event) {
        return event.isComment() || !repeated && event.position().equals(last);
    }

    @Override
    public void onEvent(ServerResponseHead head, StreamEvent event) {
        repeated |= !event.isComment();
    }

    @Override
    public boolean reserveMoveFromSilentServer() {
        return relay.reserveMoveFromSilentServer();
    }

    @Override
    public void onOutcome(ForwardOutcome outcome) {
        boolean unproved = outcome.isSuccess() && !repeated;
        onChecked.accept(unproved ? outcome.asBroken("the server does not repeat the last event") : outcome);
    }
}
