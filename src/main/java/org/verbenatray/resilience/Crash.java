package org.verbenatray.resilience;

/**
 * The end of a server process while it was running a request.
 *
 * @param suspect what may have caused it: the fingerprint of the request or the {@link PartKey} of a part of its prompt
 * @param boot the boot id of the server, which names one run of its process
 */
public record Crash(String suspect, String boot) {}
