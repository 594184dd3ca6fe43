package org.verbenatray.instance;

import java.util.List;

/**
 * The result of one attempt to publish a folder or to take over the configuration in force.
 *
 * @param kind the kind of result
 * @param lines the report for the operator, with remedies
 */
public record PublishResult(Kind kind, List<String> lines) {
    /** Returns whether the attempt succeeded: the folder is in force, or the configuration in force was taken over. */
    public boolean isSuccess() {
        return kind == Kind.ACCEPTED || kind == Kind.UNCHANGED || kind == Kind.TAKEN_OVER;
    }

    /** The kinds of results. */
    public enum Kind {
        /** The change set is in force. */
        ACCEPTED,
        /** The folder holds no edits of its author. */
        UNCHANGED,
        /** The configuration in force was written into the folder. */
        TAKEN_OVER,
        /** The folder cannot be read or breaks a rule of the schema. */
        INVALID,
        /** Another author changed files that the folder changes too. */
        CONFLICT,
        /** The change set was appended to the log and rejected. */
        REJECTED,
        /** The same change set was rejected before and was not submitted again. */
        REJECTED_BEFORE
    }
}
