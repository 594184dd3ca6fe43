package org.verbenatray.duties;

/** How a call to the platform's API has ended. */
public enum DutyOutcome {
    /** It was accepted, or had been before. */
    ACCEPTED,
    /** There are too many calls at the moment; the call has no effect. */
    TOO_MANY_CALLS,
    /** What was asked for is not to be had at the moment. */
    NOT_AVAILABLE,
    /** It was rejected for another reason, and would be again. */
    REJECTED,
    /** The API has failed or has not answered; the call may have an effect, also later. */
    UNKNOWN
}
