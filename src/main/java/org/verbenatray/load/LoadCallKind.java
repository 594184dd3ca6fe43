package org.verbenatray.load;

/** The kinds of calls in a load mix. */
public enum LoadCallKind {
    /** A completion with a short prompt and a short output. */
    CHECK,
    /** A completion with a long prompt and a long output. */
    REVIEW,
    /** A call of a plain service that must run at most once, sent with an idempotency key. */
    ISSUANCE
}
