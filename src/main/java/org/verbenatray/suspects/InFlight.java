package org.verbenatray.suspects;

/**
 * Equal requests that this instance has in flight on one server.
 *
 * @param server the server
 * @param copies their number
 * @param progressed whether the server generated tokens for one of them
 */
record InFlight(String server, int copies, boolean progressed) {
    /** Returns the first copy on a server. */
    static InFlight first(String server) {
        return new InFlight(server, 1, false);
    }

    /** Returns the same with another number of copies. */
    InFlight withCopies(int number) {
        return new InFlight(server, number, progressed);
    }

    /** Returns the same after the server generated tokens. */
    InFlight afterProgress() {
        return new InFlight(server, copies, true);
    }
}
