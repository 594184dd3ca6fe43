package org.verbenatray.platform;

import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.verbenatray.backends.ServerStatement;
import org.verbenatray.telemetry.Event;

/** Reads what a server states of itself in the headers of any response. */
final class ServerStatementReader {
    /** The requests a second that the server takes from all instances together. */
    private static final HttpString SERVER_LIMIT = new HttpString("Server-Limit");

    /** Set to 1 by a server that is leaving, in all its answers. */
    private static final HttpString SERVER_LEAVING = new HttpString("Server-Leaving");

    /** A decimal number without sign or exponent, of a length that makes sense. */
    private static final Pattern NUMBER = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");

    /** The status with which a server turns a request away. */
    private static final int STATUS_UNAVAILABLE = 503;

    /** The longest pause that a server may ask for, in milliseconds; a longer one is ignored. */
    private static final long MAX_PAUSE_MILLIS = 60_000;

    /** The largest part of a malformed value that is logged. */
    private static final int MAX_LOGGED_CHARS = 40;

    private static final Logger log = System.getLogger(ServerStatementReader.class.getName());

    /** Whether a limit that cannot be read was logged; the same server names it in all its answers. */
    private boolean malformedLimitLogged;

    /**
     * Returns what a response states of its server; empty if another server responded.
     *
     * @param headers returns the first value of a header
     */
    Optional<ServerStatement> read(int status, Function<HttpString, Optional<String>> headers) {
        if (status == PlatformProtocol.STATUS_MISDIRECTED_REQUEST) {
            return Optional.empty();
        }
        boolean leaving = headers.apply(SERVER_LEAVING)
                .filter(value -> value.trim().equals("1"))
                .isPresent();
        Optional<ServerStatement.Limit> limit =
                headers.apply(SERVER_LIMIT).map(this::readLimit).orElse(Optional.of(ServerStatement.Limit.NONE));
        OptionalLong pauseMillis = status == STATUS_UNAVAILABLE
                ? headers.apply(Headers.RETRY_AFTER)
                        .map(ServerStatementReader::readPauseMillis)
                        .orElse(OptionalLong.empty())
                : OptionalLong.empty();
        return Optional.of(new ServerStatement(leaving, limit, pauseMillis));
    }

    /** Returns a time in milliseconds; empty if the value is no number of seconds or too long. */
    private static OptionalLong readPauseMillis(String seconds) {
        if (!NUMBER.matcher(seconds.trim()).matches()) {
            return OptionalLong.empty();
        }
        double millis = 1_000 * Double.parseDouble(seconds.trim());
        return millis <= MAX_PAUSE_MILLIS ? OptionalLong.of(Math.round(millis)) : OptionalLong.empty();
    }

    /** Returns a limit; empty if the value is malformed, which is logged once. */
    private Optional<ServerStatement.Limit> readLimit(String limit) {
        if (NUMBER.matcher(limit.trim()).matches()) {
            return Optional.of(new ServerStatement.Limit(OptionalDouble.of(Double.parseDouble(limit.trim()))));
        }
        if (!malformedLimitLogged) {
            malformedLimitLogged = true;
            Event.named("server_limit_malformed")
                    .with("value", limit.substring(0, Math.min(MAX_LOGGED_CHARS, limit.length())))
                    .log(log, Level.WARNING);
        }
        return Optional.empty();
    }
}
