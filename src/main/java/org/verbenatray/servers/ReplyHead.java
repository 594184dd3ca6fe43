package org.verbenatray.servers;

import io.undertow.util.HeaderMap;

/**
 * The status and the headers of a reply.
 *
 * @param status the status
 * @param headers all headers
 */
public record ReplyHead(int status, HeaderMap headers) {}
