package org.verbenatray.relay;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Checks that the events of one stream, over all its servers, follow one another: each has an id above the one before.
 * What a faulty server sends in place of an event, such as the text of an error, has none. Used on one thread.
 */
final class EventOrder {
    private static final char COMMENT = ':';

    /** The id of the last event, empty before the first. */
    private Optional<String> last;

    /** Creates the order of a stream that goes on after the event with the given id, or that begins. */
    EventOrder(Optional<String> last) {
        this.last = last;
    }

    /** Returns whether an event may come next. */
    boolean accepts(StreamEvent event) {
        if (event.id().isEmpty()) {
            return last.isEmpty() || isComment(event);
        }
        OptionalLong before = last.map(EventOrder::number).orElse(OptionalLong.empty());
        OptionalLong next = number(event.id().get());
        return before.isEmpty() || next.isPresent() && next.getAsLong() > before.getAsLong();
    }

    /** Records the id of an event that was passed on. */
    void record(StreamEvent event) {
        last = event.id().or(() -> last);
    }

    /** Returns the id of the last event; empty before the first. */
    Optional<String> last() {
        return last;
    }

    /** Returns whether an event holds comments only, with which servers keep connections alive. */
    private static boolean isComment(StreamEvent event) {
        return new String(event.bytes(), StandardCharsets.UTF_8)
                .lines()
                .filter(line -> !line.isEmpty())
                .allMatch(line -> line.charAt(0) == COMMENT);
    }

    /** Returns an id as a number; empty if it is none. */
    private static OptionalLong number(String id) {
        boolean digits = !id.isEmpty() && id.length() <= 18 && id.chars().allMatch(Character::isDigit);
        return digits ? OptionalLong.of(Long.parseLong(id)) : OptionalLong.empty();
    }
}
