package org.verbenatray.routing;

import java.util.List;
import java.util.Set;

/**
 * The properties of a request on which routing depends.
 *
 * @param model the model's name
 * @param priority the priority; larger values are served first
 * @param failureDomain the failure domain of the instance that routes the request
 * @param promptTokens the length of the prompt in tokens
 * @param expectedOutputTokens the expected length of the output in tokens
 * @param prefixHashes the chained hashes of the prompt's blocks of 2,000 tokens
 * @param excludedEngines the engines that must not be used, such as those that failed before
 */
public record RouteRequest(
        String model,
        int priority,
        String failureDomain,
        int promptTokens,
        int expectedOutputTokens,
        List<Long> prefixHashes,
        Set<String> excludedEngines) {}
