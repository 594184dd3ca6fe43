package org.verbenatray.relay;

import java.util.Optional;

/**
 * The outcome of one attempt to forward a request.
 *
 * @param kind the kind of outcome
 * @param detail the cause, for the log
 * @param head the response head; empty if none arrived
 * @param body the body of a complete response that was not delivered event by event; empty otherwise
 * @param proved whether a complete response shows that its server ran the whole request and did not end under it: its
 *     end is marked by a length or chunks, and it is not the rest of an earlier stream
 */
public record ForwardOutcome(Kind kind, String detail, Optional<ServerResponseHead> head, byte[] body, boolean proved) {
    /** The kinds of outcomes, which appear under these names in the log and in metrics. */
    public enum Kind {
        /** No byte of the request was sent. */
        NOT_SENT,
        /** No byte of the request was sent, as the server takes no more connections now. */
        NOT_ADMITTED,
        /** The server reports that it did not run the request. */
        NOT_RUN,
        /** The server sent a complete response. */
        ANSWERED,
        /** A stream ended regularly. */
        STREAM_ENDED,
        /**
         * The server was asked for the rest of a stream and sent a complete success that holds nothing of it. The
         * stream may have ended, or the server has lost its rest.
         */
        EMPTY_REST,
        /**
         * The connection failed, or the response is invalid or belongs to another request; the request may have run.
         */
        BROKEN,
        /** The server made no progress in time; the request may have run or still be running. */
        SILENT
    }

    /** Returns whether no byte of the request was sent. */
    boolean unsent() {
        return kind == Kind.NOT_SENT || kind == Kind.NOT_ADMITTED;
    }

    /** Returns whether the server may have run the request. */
    boolean mayHaveRun() {
        return !unsent() && kind != Kind.NOT_RUN;
    }

    /** Returns whether the attempt has failed without a usable response; the detail tells why. */
    boolean isFailure() {
        return unsent() || kind == Kind.BROKEN || kind == Kind.SILENT;
    }

    /** Returns whether the server has run the request to its end with success. */
    boolean isSuccess() {
        boolean complete = kind == Kind.ANSWERED || kind == Kind.STREAM_ENDED || kind == Kind.EMPTY_REST;
        return complete && status() < 300;
    }

    /** Returns the outcome of the same attempt whose response turned out to be unusable for the given reason. */
    ForwardOutcome asBroken(String reason) {
        return new ForwardOutcome(Kind.BROKEN, reason, head, new byte[0], false);
    }

    /** Returns the HTTP status of the response; zero if there is none. */
    int status() {
        return head.map(ServerResponseHead::status).orElse(0);
    }
}
