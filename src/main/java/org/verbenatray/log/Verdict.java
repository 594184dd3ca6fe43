package org.verbenatray.log;

import java.util.Optional;

/**
 * The result of applying a record to the state: accepted or rejected.
 *
 * @param offset the offset of the record
 * @param rejection the reason of a rejection, empty when the record was accepted
 */
public record Verdict(long offset, Optional<Rejection> rejection) {
    /** Returns the verdict for an accepted record. */
    public static Verdict accepted(long offset) {
        return new Verdict(offset, Optional.empty());
    }

    /** Returns the verdict for a rejected record. */
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
     * @param kind the kind of rejection
     * @param detail the cause and the remedy, as text for operators
     * @param rivalAuthor the author of the conflicting record that was accepted, if any
     * @param rivalOffset the offset of the conflicting record that was accepted, if any
     */
    public record Rejection(Kind kind, String detail, Optional<String> rivalAuthor, Optional<Long> rivalOffset) {
        /** Returns a rejection without a conflicting record. */
        public static Rejection create(Kind kind, String detail) {
            return new Rejection(kind, detail, Optional.empty(), Optional.empty());
        }

        /** Returns a rejection that names the conflicting record that was accepted. */
        public static Rejection createWithRival(Kind kind, String detail, String rivalAuthor, long rivalOffset) {
            return new Rejection(kind, detail, Optional.of(rivalAuthor), Optional.of(rivalOffset));
        }
    }

    /** The kinds of rejection. */
    public enum Kind {
        /** The record's id was seen before. */
        DUPLICATE,
        /** The record's {@code follows} is no longer the newest offset of the state that it changes. */
        STALE,
        /** The record's content is invalid. */
        INVALID,
        /** The author does not hold the lease that the record needs. */
        NOT_HOLDER,
        /** The idempotency key is reserved, or its call has run already. */
        KEY_TAKEN,
        /** The idempotency key is older than the retention of keys. */
        KEY_EXPIRED,
        /** A bounded table of the state is full. */
        FULL,
        /** The record's format version is unknown to this software. */
        UNKNOWN_FORMAT
    }
}
