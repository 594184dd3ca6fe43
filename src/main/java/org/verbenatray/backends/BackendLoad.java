package org.verbenatray.backends;

/**
 * The load that an engine reports, typically some hundred milliseconds old.
 *
 * @param waitingRequests the number of requests that have not produced a token yet
 * @param runningRequests the number of requests that are producing tokens
 * @param usedCacheTokens the number of cached tokens that cannot be evicted
 * @param cacheCapacityTokens the capacity of the KV cache, in tokens
 * @param firstWaitingTokens the number of tokens of the first waiting request
 * @param changingStage true while the engine is changing its stage
 * @param acceptedOrders the number of orders to change the stage that it has accepted since its start
 */
public record BackendLoad(
        int waitingRequests,
        int runningRequests,
        long usedCacheTokens,
        long cacheCapacityTokens,
        long firstWaitingTokens,
        boolean changingStage,
        long acceptedOrders) {}
