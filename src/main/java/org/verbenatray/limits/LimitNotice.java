package org.verbenatray.limits;

import java.util.List;
import java.util.OptionalDouble;

/**
 * A notice of one instance about servers that state limits.
 *
 * <p>It holds the total number of requests sent instead of the last ones, so that a later notice makes up for a lost
 * one.
 *
 * @param instance the name of the sender
 * @param incarnation a number that increases with each start of the sender's process
 * @param reports what the sender knows of each server
 */
record LimitNotice(String instance, long incarnation, List<Report> reports) {
    /**
     * What the sender knows of one server.
     *
     * @param boot the boot id of the server
     * @param requestsPerSecond the limit; empty if the server states none any more
     * @param ageMillis the age of the answer that stated it
     * @param sent the requests that the sender has sent to the server since it knew of the limit
     */
    record Report(String boot, OptionalDouble requestsPerSecond, long ageMillis, long sent) {}
}
