package org.verbenatray.fleet;

import java.util.List;

/**
 * A summary of the load of a failure domain, which its instances send to instances of other failure domains.
 *
 * @param failureDomain the summarised failure domain
 * @param readyEngines the number of engines that accept requests
 * @param runningStreams the running streams of all ready engines
 * @param queuedPrefillTokens the prompt tokens queued or being processed on all ready engines
 * @param offers reports of the least loaded engines, which other failure domains may use, at most
 *     {@link FleetBounds#maxOffersPerGroup} per set of models and role
 */
public record DomainDigest(
        String failureDomain,
        int readyEngines,
        long runningStreams,
        long queuedPrefillTokens,
        List<LoadReport> offers) {}
