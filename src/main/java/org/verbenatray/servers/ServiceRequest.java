package org.verbenatray.servers;

import org.verbenatray.time.Deadline;

/**
 * Request to a plain service.
 *
 * @param requestId the request id that appears in this system's logs
 * @param customer the customer
 * @param method the HTTP method
 * @param path the path with its query
 * @param contentType the media type of the body, empty without a body
 * @param body the body
 * @param deadline the deadline for the complete response
 */
public record ServiceRequest(
        String requestId,
        String customer,
        String method,
        String path,
        String contentType,
        byte[] body,
        Deadline deadline) {}
