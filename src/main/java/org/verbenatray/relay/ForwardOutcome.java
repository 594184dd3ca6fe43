package org.verbenatray.relay;

import java.util.Optional;

/**
 * What became of one sending of a request.
 *
 * @param kind the kind
 * @param detail what was seen, for the log
 * @param head the head of the answer; empty where none came
 * @param body the body of a whole answer that is no stream
 */
public record ForwardOutcome(Kind kind, String detail, Optional<ServerHead> head, byte[] body) {
    /** The kinds of outcomes. */
    public enum Kind {
        /** No byte was sent. */
        NOT_SENT,
        /** The server states that it did not run the request. */
        NOT_RUN,
        /** The server gave a whole answer. */
        ANSWERED,
        /** A stream came to its end. */
        STREAM_ENDED,
        /** The connection broke or carried something else than the answer; the request may have run. */
        BROKEN,
        /** The server made no progress in time; the request may run. */
        SILENT
    }

    /** Returns an outcome without an answer. */
    static ForwardOutcome without(Kind kind, String detail) {
        return new ForwardOutcome(kind, detail, Optional.empty(), new byte[0]);
    }

    /** Returns the status of the answer, zero without one. */
    int status() {
        return head.map(ServerHead::status).orElse(0);
    }
}
