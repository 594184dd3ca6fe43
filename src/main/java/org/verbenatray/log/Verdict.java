package org.verbenatray.log;

import java.util.Optional;

/**
 * The judgement of the fold over one record.
 *
 * @param offset the offset of the judged record
 * @param rejection the reason of a rejection, empty when the record was accepted
 */
public record Verdict(long offset, Optional<Rejection> rejection) {
    /** Returns an acceptance. */
    public static Verdict accepted(long offset) {
        return new Verdict(offset, Optional.empty());
    }

    /** Returns a rejection. */
    public static Verdict rejected(long offset, Rejection rejection) {
        return new Verdict(offset, Optional.of(rejection));
    }

    /** Returns whether the record was accepted. */
    public boolean isAccepted() {
        return rejection.isEmpty();
    }

    /**
     * The reason of a rejection.
     *
     * @param kind the kind
     * @param detail what was found and the remedy, for people
     * @param rivalAuthor the author of the record that won, where there is one
     * @param rivalOffset the offset of the record that won, where there is one
     */
    public record Rejection(Kind kind, String detail, Optional<String> rivalAuthor, Optional<Long> rivalOffset) {
        /** Returns a rejection without a rival. */
        public static Rejection create(Kind kind, String detail) {
            return new Rejection(kind, detail, Optional.empty(), Optional.empty());
        }

        /** Returns a rejection that names the record that won. */
        public static Rejection lostTo(Kind kind, String detail, String rivalAuthor, long rivalOffset) {
            return new Rejection(kind, detail, Optional.of(rivalAuthor), Optional.of(rivalOffset));
        }
    }

    /** The kinds of rejection. */
    public enum Kind {
        /** The record's id was seen before. */
        DUPLICATE,
        /** The record follows an offset that is no longer the newest. */
        STALE,
        /** The record's content breaks a rule. */
        INVALID,
        /** The author does not hold the lease that the record needs. */
        NOT_HOLDER,
        /** The key of the call is reserved or was run already. */
        KEY_TAKEN,
        /** The key of the call is older than the window in which keys are remembered. */
        KEY_EXPIRED,
        /** A bounded table of the state is full. */
        FULL,
        /** The record's format version is unknown to this software. */
        UNKNOWN_FORMAT
    }
}
