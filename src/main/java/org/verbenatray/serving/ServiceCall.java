package org.verbenatray.serving;

import java.util.Optional;
import org.verbenatray.configuration.FleetConfiguration.CallSpec;
import org.verbenatray.configuration.FleetConfiguration.ServiceSpec;
import org.verbenatray.servers.ServiceRequest;

/**
 * A checked call of a plain service.
 *
 * @param service the name of the service
 * @param spec the configuration of the service
 * @param call the configuration of the call
 * @param idempotencyKey the key under which the call may run at most once, where the caller gave one
 * @param request what is sent
 */
record ServiceCall(
        String service, ServiceSpec spec, CallSpec call, Optional<String> idempotencyKey, ServiceRequest request) {}
