package org.verbenatray.serving;

import java.util.function.Supplier;
import org.verbenatray.configuration.ActiveConfiguration;
import org.verbenatray.explain.Explanations;
import org.verbenatray.servers.ServiceClient;

/**
 * What the handlers of an instance share.
 *
 * @param instance the name of the instance
 * @param failureDomain its failure domain
 * @param configuration the configuration in force
 * @param open the open requests
 * @param admitter admits requests
 * @param relay what relays work with
 * @param services talks to backend servers of plain services
 * @param servers chooses them
 * @param once runs calls that must not be repeated
 * @param explanations what became of the last requests
 * @param defaultTimeoutMillis the time a request may take where the caller states none, in milliseconds
 */
public record ServingParts(
        String instance,
        String failureDomain,
        Supplier<ActiveConfiguration> configuration,
        OpenRequests open,
        QueuedAdmitter admitter,
        RelayParts relay,
        ServiceClient services,
        ServerChooser servers,
        OnceCalls once,
        Explanations explanations,
        long defaultTimeoutMillis) {}
