package org.verbenatray.suspects;

/**
 * Counts the equal requests that this instance has in flight. All of them run on the same server.
 *
 * @param server the name of the server
 * @param copies the number of requests in flight
 * @param progressed whether the server has generated tokens for at least one of them
 */
record InFlightCopies(String server, int copies, boolean progressed) {
    /** Returns a single copy on the given server without progress. */
    static InFlightCopies first(String server) {
        return new InFlightCopies(server, 1, false);
    }

    /** Returns a copy of this record with the given number of requests. */
    InFlightCopies withCopies(int number) {
        return new InFlightCopies(server, number, progressed);
    }

    /** Returns a copy of this record that is marked as progressed. */
    InFlightCopies afterProgress() {
        return new InFlightCopies(server, copies, true);
    }
}
