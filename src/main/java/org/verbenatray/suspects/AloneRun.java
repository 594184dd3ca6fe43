package org.verbenatray.suspects;

/**
 * A run of a suspect on a server that takes nothing else meanwhile.
 *
 * @param fingerprint the suspect
 * @param server the server
 * @param untilMillis the end of the server's bar unless the run ends earlier, in milliseconds since the epoch
 */
public record AloneRun(Fingerprint fingerprint, String server, long untilMillis) {}
