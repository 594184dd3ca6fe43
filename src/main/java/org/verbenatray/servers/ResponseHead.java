package org.verbenatray.servers;

import io.undertow.util.HeaderMap;

/**
 * Status and headers of a response.
 *
 * @param status the status
 * @param headers all headers
 * @param endsWithConnection whether the body has neither a length nor chunks, so that it ends with the connection
 */
public record ResponseHead(int status, HeaderMap headers, boolean endsWithConnection) {}
