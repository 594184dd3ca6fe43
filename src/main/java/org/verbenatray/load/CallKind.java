package org.verbenatray.load;

/** The kinds of calls of a mix. */
public enum CallKind {
    /** A short prompt with a short answer. */
    CHECK,
    /** A long prompt with a long answer. */
    REVIEW,
    /** A call of a plain service that must run at most once. */
    ISSUANCE
}
