package org.verbenatray.suspects;

/**
 * Equal requests that this instance has in flight on one server.
 *
 * @param server the server
 * @param copies their number
 */
record InFlight(String server, int copies) {}
