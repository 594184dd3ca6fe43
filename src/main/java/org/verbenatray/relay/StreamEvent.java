package org.verbenatray.relay;

import java.util.Optional;

/**
 * One whole event of a stream.
 *
 * @param bytes its bytes with the empty line that ends it
 * @param id its id; empty where it has none
 */
public record StreamEvent(byte[] bytes, Optional<String> id) {}
