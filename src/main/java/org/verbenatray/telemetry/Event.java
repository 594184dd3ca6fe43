package org.verbenatray.telemetry;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/** One event line of key=value pairs; values with spaces, quotes or equals signs are quoted. */
public final class Event {
    /** The pairs so far. */
    private final StringBuilder line = new StringBuilder(128);

    /** Creates an event with its name. */
    private Event(String name) {
        line.append("event=").append(name);
    }

    /** Returns an event with the given name in snake case. */
    public static Event named(String name) {
        return new Event(name);
    }

    /** Adds a pair and returns this event. */
    public Event with(String key, Object value) {
        line.append(' ').append(key).append('=');
        appendValue(String.valueOf(value));
        return this;
    }

    /** Writes the event as one line. */
    public void log(Logger logger, Level level) {
        if (logger.isLoggable(level)) {
            logger.log(level, line.toString());
        }
    }

    @Override
    public String toString() {
        return line.toString();
    }

    /** Appends a value, quoted where it needs to be. */
    private void appendValue(String value) {
        if (isPlain(value)) {
            line.append(value);
            return;
        }
        line.append('"');
        value.chars().forEach(this::appendEscaped);
        line.append('"');
    }

    /** Appends one character of a quoted value. */
    private void appendEscaped(int character) {
        switch (character) {
            case '"', '\\' -> line.append('\\').append((char) character);
            case '\n' -> line.append("\\n");
            case '\r' -> line.append("\\r");
            default -> line.append(character < ' ' ? '?' : (char) character);
        }
    }

    /** Returns whether a value needs no quotes. */
    private static boolean isPlain(String value) {
        return !value.isEmpty()
                && value.chars().allMatch(c -> c > ' ' && c != '"' && c != '=' && c != '\\' && c != 0x7f);
    }
}
