package org.verbenatray.relay;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Checks that the events of one stream, over all its servers, follow one another: each has an id above the one before.
 * What a faulty server sends in place of an event, such as the text of an error, has none. Used on one thread.
 */
final class EventOrder {
    /** The id after which a server goes on with the stream, empty before the first. */
    private Optional<String> last;

    /** The id after which a server sends the last event once more, empty if it is the first one. */
    private Optional<String> beforeLast;

    /** The number of events with a position that were passed on. */
    private int count;

    /** Whether each event that was passed on, but for comments, has a position. */
    private boolean allPlaced = true;

    /** Creates the order of a stream that goes on after the event with the given id, or that begins. */
    EventOrder(Optional<String> last) {
        this.last = last;
        this.beforeLast = last.map(StreamEvent::number)
                .filter(number -> number.orElse(0) > 0)
                .map(number -> Long.toString(number.getAsLong() - 1));
    }

    /** Returns whether an event may come next. */
    boolean accepts(StreamEvent event) {
        if (event.id().isEmpty()) {
            return last.isEmpty() || event.isComment();
        }
        OptionalLong before = lastPosition();
        OptionalLong next = event.position();
        return before.isEmpty() || next.isPresent() && next.getAsLong() > before.getAsLong();
    }

    /** Records an event that was passed on. */
    void record(StreamEvent event) {
        if (event.position().isPresent()) {
            beforeLast = last;
            last = event.id();
            count++;
        } else if (!event.isComment()) {
            allPlaced = false;
        }
    }

    /** Returns the id after which another server goes on with the stream; empty if it begins the stream. */
    Optional<String> last() {
        return last;
    }

    /** Returns the id after which a server sends the last event once more; empty if that event begins the stream. */
    Optional<String> beforeLast() {
        return beforeLast;
    }

    /** Returns the position of the last event; empty if a server cannot be asked for that event. */
    OptionalLong lastPosition() {
        return last.map(StreamEvent::number).orElse(OptionalLong.empty());
    }

    /** Returns the number of events with a position that were passed on. */
    int count() {
        return count;
    }

    /**
     * Returns whether another server can go on with the stream: the rest that it sends follows on all that was passed
     * on only if that is told by the id of the last event.
     */
    boolean canGoOnElsewhere() {
        return allPlaced;
    }
}
