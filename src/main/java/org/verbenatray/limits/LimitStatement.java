package org.verbenatray.limits;

import java.util.OptionalDouble;

/**
 * What a server last stated about its limit, as far as the speaker knows.
 *
 * @param requestsPerSecond the requests a second that the server takes from all instances together; empty if it takes
 *     any number
 * @param atNanos when the answer arrived that stated it, in nanoseconds of the ticker
 */
record LimitStatement(OptionalDouble requestsPerSecond, long atNanos) {
    /** Relative change of a limit from which on it is reported to the other instances at once. */
    private static final double NOTABLE_CHANGE = 0.1;

    /** Returns whether another statement differs so much that the other instances should know at once. */
    boolean differsNotably(LimitStatement other) {
        if (requestsPerSecond.isEmpty() || other.requestsPerSecond.isEmpty()) {
            return requestsPerSecond.isPresent() != other.requestsPerSecond.isPresent();
        }
        double rate = requestsPerSecond.getAsDouble();
        return Math.abs(rate - other.requestsPerSecond.getAsDouble()) > NOTABLE_CHANGE * rate;
    }
}
