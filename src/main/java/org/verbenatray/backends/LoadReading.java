package org.verbenatray.backends;

/**
 * The load of an engine as it states it, some hundred milliseconds old.
 *
 * @param waiting the requests that have not produced a token yet
 * @param running the requests that produce tokens
 * @param usedTokens the tokens in memory that can't be dropped
 * @param totalTokens the tokens that fit in memory
 * @param nextTokens the tokens of the first waiting request
 * @param busy whether it is changing its stage
 * @param acceptedOrders the orders that it has accepted since its start
 */
public record LoadReading(
        int waiting,
        int running,
        long usedTokens,
        long totalTokens,
        long nextTokens,
        boolean busy,
        long acceptedOrders) {}
