package org.verbenatray.serving;

import java.util.function.Supplier;
import org.verbenatray.configuration.ActiveConfiguration;
import org.verbenatray.explain.ExplanationStore;
import org.verbenatray.servers.ServiceClient;

/**
 * The dependencies shared by the HTTP handlers of an instance.
 *
 * @param instance the name of the instance
 * @param failureDomain the failure domain of the instance
 * @param configuration returns the active configuration
 * @param openRequests counts and limits the open requests
 * @param admitter admits completion requests
 * @param relayContext the dependencies of stream relays
 * @param serviceClient sends calls to backend servers of plain services
 * @param serverChooser chooses backend servers of plain services
 * @param atMostOnceCalls runs calls that must not be repeated
 * @param explanations keeps the traces of recent requests
 * @param defaultTimeoutMillis the timeout of requests that state none, in milliseconds
 */
public record ServingContext(
        String instance,
        String failureDomain,
        Supplier<ActiveConfiguration> configuration,
        OpenRequests openRequests,
        QueuedAdmitter admitter,
        StreamRelayContext relayContext,
        ServiceClient serviceClient,
        ServerChooser serverChooser,
        AtMostOnceCalls atMostOnceCalls,
        ExplanationStore explanations,
        long defaultTimeoutMillis) {}
