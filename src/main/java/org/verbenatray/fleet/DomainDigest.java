package org.verbenatray.fleet;

import java.util.List;

/**
 * The summary of a failure domain that its instances send to those of other failure domains.
 *
 * @param failureDomain the summarised failure domain
 * @param readyEngines the number of engines that take work
 * @param runningStreams the streams on all of them
 * @param queuedPrefillTokens the prompt tokens that wait on all of them
 * @param offers the least loaded engines, at most {@link FleetBounds#offersPerDomain} per model
 */
public record DomainDigest(
        String failureDomain,
        int readyEngines,
        long runningStreams,
        long queuedPrefillTokens,
        List<LoadReport> offers) {}
