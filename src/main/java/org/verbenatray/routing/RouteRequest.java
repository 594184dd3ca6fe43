package org.verbenatray.routing;

import java.util.List;
import java.util.Set;

/**
 * What routing has to know of a request.
 *
 * @param model the model
 * @param priority the priority, larger is served first
 * @param failureDomain the failure domain of the deciding instance
 * @param promptTokens the length of the prompt in tokens
 * @param expectedOutputTokens the tokens it is expected to generate
 * @param prefixHashes the chained hashes of the prompt's pieces of 2,000 tokens
 * @param barred the engines that must not be tried, such as those that failed before
 */
public record RouteRequest(
        String model,
        int priority,
        String failureDomain,
        int promptTokens,
        int expectedOutputTokens,
        List<Long> prefixHashes,
        Set<String> barred) {}
