package org.verbenatray.serving;

import io.undertow.util.HeaderMap;
import org.verbenatray.configuration.FleetConfiguration.CustomerSpec;
import org.verbenatray.time.Deadline;

/**
 * A received request, with its customer once it is authenticated.
 *
 * @param requestId the id of the request in logs, traces and responses
 * @param headers the headers
 * @param body the body
 * @param customer the name of the customer, empty before authentication
 * @param customerSpec the configuration of the customer, null before authentication
 * @param receivedNanos the time of receipt in nanoseconds of the ticker
 * @param deadline the time by which the response must be complete
 */
record CallerRequest(
        String requestId,
        HeaderMap headers,
        byte[] body,
        String customer,
        CustomerSpec customerSpec,
        long receivedNanos,
        Deadline deadline) {
    /** Returns a copy of this request with its customer. */
    CallerRequest withCustomer(String name, CustomerSpec spec) {
        return new CallerRequest(requestId, headers, body, name, spec, receivedNanos, deadline);
    }
}
