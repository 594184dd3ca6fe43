package org.verbenatray.serving;

import java.util.Optional;
import org.verbenatray.configuration.FleetConfiguration.CallSpec;
import org.verbenatray.configuration.FleetConfiguration.ServiceSpec;
import org.verbenatray.servers.ServiceRequest;

/**
 * A validated call of a plain service.
 *
 * @param service the name of the service
 * @param spec the configuration of the service
 * @param call the configuration of the call
 * @param idempotencyKey the idempotency key given by the caller, if any
 * @param request the request to send to a backend server
 */
record ServiceCall(
        String service, ServiceSpec spec, CallSpec call, Optional<String> idempotencyKey, ServiceRequest request) {}
