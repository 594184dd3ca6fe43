package org.verbenatray.servers;

import org.verbenatray.time.Deadline;

/**
 * A call of a plain service as it is sent to a backend server.
 *
 * @param requestId the id under which this system reports the request
 * @param customer the customer
 * @param method the HTTP method
 * @param path the path with its query
 * @param contentType the media type of the body, empty without a body
 * @param body the body
 * @param deadline when the answer must be whole
 */
public record ServiceRequest(
        String requestId,
        String customer,
        String method,
        String path,
        String contentType,
        byte[] body,
        Deadline deadline) {}
