package org.verbenatray.instance;

import java.util.List;

/**
 * What became of one attempt to publish a folder.
 *
 * @param kind the kind
 * @param lines what there is to tell the operator, one line each, with remedies
 */
public record PublishResult(Kind kind, List<String> lines) {
    /** Returns whether the folder is what it should be: in force, or taken over. */
    public boolean isDone() {
        return kind == Kind.ACCEPTED || kind == Kind.UNCHANGED || kind == Kind.TAKEN_OVER;
    }

    /** The kinds of results. */
    public enum Kind {
        /** The change set is in force. */
        ACCEPTED,
        /** The folder holds no edit of its author. */
        UNCHANGED,
        /** What is in force was written into the folder. */
        TAKEN_OVER,
        /** The folder cannot be read or breaks a rule of the schema. */
        INVALID,
        /** Another author changed files that the folder changes too. */
        CONFLICT,
        /** The log holds the change set, and the change set was rejected. */
        REJECTED,
        /** The same change set was rejected before and was not submitted again. */
        REJECTED_BEFORE
    }
}
