package org.verbenatray.telemetry;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/** A log event of key=value pairs on one line; values with spaces, quotes or equals signs are quoted. */
public final class Event {
    private final StringBuilder line = new StringBuilder(128);

    private Event(String name) {
        line.append("event=").append(name);
    }

    /** Returns an event with the given name, which is in snake case. */
    public static Event named(String name) {
        return new Event(name);
    }

    /** Appends a key=value pair and returns this event. */
    public Event with(String key, Object value) {
        line.append(' ').append(key).append('=');
        appendValue(String.valueOf(value));
        return this;
    }

    /** Logs the event as one line if the level is enabled. */
    public void log(Logger logger, Level level) {
        if (logger.isLoggable(level)) {
            logger.log(level, line.toString());
        }
    }

    @Override
    public String toString() {
        return line.toString();
    }

    private void appendValue(String value) {
        if (isPlain(value)) {
            line.append(value);
            return;
        }
        line.append('"');
        value.chars().forEach(this::appendEscaped);
        line.append('"');
    }

    /** Appends one character of a quoted value, escaped; other control characters become question marks. */
    private void appendEscaped(int character) {
        switch (character) {
            case '"', '\\' -> line.append('\\').append((char) character);
            case '\n' -> line.append("\\n");
            case '\r' -> line.append("\\r");
            default -> line.append(character < ' ' ? '?' : (char) character);
        }
    }

    private static boolean isPlain(String value) {
        return !value.isEmpty()
                && value.chars().allMatch(c -> c > ' ' && c != '"' && c != '=' && c != '\\' && c != 0x7f);
    }
}
