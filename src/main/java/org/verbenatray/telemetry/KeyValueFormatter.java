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
        Handler console = new ConsoleHandler();
        console.setFormatter(new KeyValueFormatter());
        useOnly(console, level);
    }

    /** Makes all loggers of this process write to standard output in this format, never waiting for it. */
    public static BoundedLog installBounded(Level level) {
        BoundedLog bounded = BoundedLog.start(System.out, new KeyValueFormatter());
        useOnly(bounded, level);
        return bounded;
    }

    /** Makes all loggers of this process use one handler. */
    private static void useOnly(Handler only, Level level) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        only.setLevel(level);
        root.addHandler(only);
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
