package org.verbenatray.suspects;

/**
 * An isolated run of a suspect request: the server runs no other request at the same time.
 *
 * @param fingerprint the fingerprint of the suspect request
 * @param server the name of the reserved server
 * @param untilMillis the time at which the reservation of the server expires unless the run ends earlier, in
 *     milliseconds since the epoch
 */
public record IsolatedRun(Fingerprint fingerprint, String server, long untilMillis) {}
