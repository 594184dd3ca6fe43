package org.verbenatray.serving;

import io.undertow.util.HeaderMap;
import org.verbenatray.configuration.FleetConfiguration.CustomerSpec;
import org.verbenatray.time.Deadline;

/**
 * A request as it was received, with its customer once that is known.
 *
 * @param requestId the id under which this system reports it
 * @param headers the headers
 * @param body the body
 * @param customer the name of the customer, empty before it is known
 * @param customerSpec the customer's configuration, null before it is known
 * @param receivedNanos when it was received
 * @param deadline when its answer must be whole
 */
record CallerRequest(
        String requestId,
        HeaderMap headers,
        byte[] body,
        String customer,
        CustomerSpec customerSpec,
        long receivedNanos,
        Deadline deadline) {
    /** Returns this request with its customer. */
    CallerRequest identified(String name, CustomerSpec spec) {
        return new CallerRequest(requestId, headers, body, name, spec, receivedNanos, deadline);
    }
}
