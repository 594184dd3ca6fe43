package org.verbenatray.relay;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * One whole server-sent event.
 *
 * @param bytes the bytes, including the empty line that ends the event
 * @param id the event id; empty if it has none
 */
public record StreamEvent(byte[] bytes, Optional<String> id) {
    private static final char COMMENT = ':';

    /** The most digits of a number that fits a long. */
    private static final int MAX_DIGITS = 18;

    /**
     * Returns the position of the event in its stream, which is its id as a number; empty if it has none, so that no
     * server can be asked for what follows it.
     */
    OptionalLong position() {
        return id.map(StreamEvent::number).orElse(OptionalLong.empty());
    }

    /** Returns whether the event holds comments only, with which servers keep connections alive. */
    boolean isComment() {
        return new String(bytes, StandardCharsets.UTF_8)
                .lines()
                .filter(line -> !line.isEmpty())
                .allMatch(line -> line.charAt(0) == COMMENT);
    }

    /** Returns an id as a number; empty if it is none. */
    static OptionalLong number(String id) {
        boolean digits =
                !id.isEmpty() && id.length() <= MAX_DIGITS && id.chars().allMatch(Character::isDigit);
        return digits ? OptionalLong.of(Long.parseLong(id)) : OptionalLong.empty();
    }
}
