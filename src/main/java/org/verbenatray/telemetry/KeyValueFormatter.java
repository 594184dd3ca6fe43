package org.verbenatray.telemetry;

import java.time.Instant;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Formats each log record as one line of key=value pairs: time, level and the message. */
public final class KeyValueFormatter extends Formatter {
    /** The loggers of libraries of which only warnings and errors are logged. */
    private static final String[] QUIET_LOGGERS = {"io.undertow", "org.jboss", "io.netty"};

    private KeyValueFormatter() {}

    /** Makes all loggers of this process write to standard error in this format, on the thread of the caller. */
    public static void install(Level level) {
        Handler console = new ConsoleHandler();
        console.setFormatter(new KeyValueFormatter());
        replaceHandlers(console, level);
    }

    /**
     * Makes all loggers of this process write to standard output in this format, without blocking the caller. A log
     * record of an error ends the process.
     */
    public static AsyncLogHandler installAsync(Level level, FatalErrors fatalErrors) {
        AsyncLogHandler handler = AsyncLogHandler.start(System.out, new KeyValueFormatter(), fatalErrors);
        replaceHandlers(handler, level);
        return handler;
    }

    /** Replaces the handlers of the root logger. */
    private static void replaceHandlers(Handler replacement, Level level) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        replacement.setLevel(level);
        root.addHandler(replacement);
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
        line.append(' ').append(toPairs(formatMessage(entry)));
        if (entry.getThrown() != null) {
            line.append(' ').append(Event.named("failure").with("cause", entry.getThrown()));
        }
        return line.append('\n').toString();
    }

    /** Returns the message as key=value pairs; a message of a library becomes one quoted value. */
    private static String toPairs(String message) {
        if (message.startsWith("event=")) {
            return message;
        }
        return Event.named("library_message").with("message", message).toString();
    }
}
