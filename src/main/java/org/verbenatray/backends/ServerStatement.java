package org.verbenatray.backends;

import java.util.OptionalDouble;

/**
 * What a backend server states of itself in the head of a response.
 *
 * @param requestsPerSecond the requests a second that it takes from all instances together; empty if it states none
 */
public record ServerStatement(OptionalDouble requestsPerSecond) {}
