package org.verbenatray.telemetry;

import java.time.Instant;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Formats log records as one line each: time, level, logger and the message. */
public final class KeyValueFormatter extends Formatter {
    /** The loggers of libraries whose information messages are not shown. */
    private static final String[] QUIET_LOGGERS = {"io.undertow", "org.jboss", "io.netty"};

    /** Creates the formatter. */
    private KeyValueFormatter() {}

    /** Makes all loggers of this process write to standard error in this format. */
    public static void install(Level level) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        Handler console = new ConsoleHandler();
        console.setFormatter(new KeyValueFormatter());
        console.setLevel(level);
        root.addHandler(console);
        root.setLevel(level);
        Logger.getLogger("org.xnio").setLevel(Level.SEVERE);
        for (String name : QUIET_LOGGERS) {
            Logger.getLogger(name).setLevel(Level.WARNING);
        }
    }

    @Override
    public String format(LogRecord entry) {
        StringBuilder line = new StringBuilder(192);
        line.append("time=").append(Instant.ofEpochMilli(entry.getMillis()));
        line.append(" level=").append(entry.getLevel().getName().toLowerCase(java.util.Locale.ROOT));
        line.append(' ').append(body(formatMessage(entry)));
        if (entry.getThrown() != null) {
            line.append(' ').append(Event.named("failure").with("cause", entry.getThrown()));
        }
        return line.append('\n').toString();
    }

    /** Returns the message as pairs; messages of libraries become one quoted value. */
    private static String body(String message) {
        if (message.startsWith("event=")) {
            return message;
        }
        return Event.named("library_message").with("message", message).toString();
    }
}
